package main

import (
	"context"
	"net"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/platform"
)

// machine is what a gateway host needs from its machine.
type machine struct {
	dial         func(ctx context.Context, address string) (net.Conn, error) // to the store and to other hosts
	listen       func(address string) (net.Listener, error)
	listenPacket func(address string) (net.PacketConn, error)
	decodeConfig func(data []byte) (*config.Config, error)
	upstreams    *upstream.Dialer
}

// newMachine returns this machine.
func newMachine() machine {
	dialer := upstream.NewDialer()
	return machine{
		dial:         dialer.Dial,
		listen:       func(address string) (net.Listener, error) { return net.Listen("tcp4", address) },
		listenPacket: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp4", address) },
		decodeConfig: platform.DecodeConfig,
		upstreams:    dialer,
	}
}
