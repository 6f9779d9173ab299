package main

import (
	"context"
	"net"
	"time"

	"hickorypath/internal/core/sockopt"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/platform"
)

// machine is what a gateway host needs from its machine.
type machine struct {
	dial         func(ctx context.Context, address string) (net.Conn, error) // to the store and to other hosts
	dialHost     func(ctx context.Context, address string) (net.Conn, error) // to other hosts, to relay requests
	listen       func(address string) (net.Listener, error)
	listenPacket func(address string) (net.PacketConn, error)
	decodeConfig func(data []byte) (*config.Config, error)
	upstreams    *upstream.Dialer
}

// hostDialTimeout bounds the opening of a connection to relay a request; after that, another host is asked.
const hostDialTimeout = 300 * time.Millisecond

// newMachine returns this machine, which has an IP address.
func newMachine(ip string) machine {
	dialer := upstream.NewDialer()
	hosts := net.Dialer{
		Timeout: hostDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, // other hosts know this one by its address
		KeepAliveConfig: sockopt.KeepAlive(), Control: sockopt.Control,
	}
	return machine{
		dial: dialer.Dial,
		dialHost: func(ctx context.Context, address string) (net.Conn, error) {
			return hosts.DialContext(ctx, "tcp4", address)
		},
		listen:       func(address string) (net.Listener, error) { return net.Listen("tcp4", address) },
		listenPacket: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp4", address) },
		decodeConfig: platform.DecodeConfig,
		upstreams:    dialer,
	}
}
