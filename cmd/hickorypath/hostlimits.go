package main

import (
	"math"
	"net/http"

	"golang.org/x/sys/unix"

	"hickorypath/internal/core/settings"
)

const (
	// serveConnMemory is the memory of a connection to serve: buffers of the kernel, and a head of maxHeaderBytes, of which net/http makes up to 15 times as
	// much if its fields are short.
	serveConnMemory = 1 << 20
	// serveSocketBuffer is the size of the kernel's buffers of a connection.
	serveSocketBuffer = 256 << 10
	// serveStreams bounds the requests at a time on an HTTP/2 connection, and serveStreamBuffer and serveUploadBuffer the bytes of bodies that are received ahead.
	serveStreams      = 100
	serveStreamBuffer = 64 << 10
	serveUploadBuffer = 256 << 10
)

// newHTTP2Config returns the bounds on HTTP/2 connections.
func newHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{MaxConcurrentStreams: serveStreams, MaxReceiveBufferPerStream: serveStreamBuffer, MaxReceiveBufferPerConnection: serveUploadBuffer}
}

// unknownMemory stands for the memory of a machine that cannot be read, in bytes.
const unknownMemory = 1 << 30

// hostMemory returns the memory that a host may use, in bytes: what its settings say, or the memory of its machine.
func hostMemory(s *settings.Settings) int64 {
	if n := s.MemoryBytes(); n > 0 {
		return n
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return unknownMemory
	}
	return int64(min(info.Totalram*uint64(info.Unit), math.MaxInt64))
}

// maxServeConns returns how many connections of callers a host serves at a time.
func maxServeConns(memoryBytes int64) int {
	n := memoryBytes / serveConnMemory
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		n = min(n, (int64(min(limit.Cur, math.MaxInt32))-reservedDescriptors)*connShare/connParts)
	}
	return int(max(n, 1))
}
