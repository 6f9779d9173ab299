package main

import (
	"math"

	"golang.org/x/sys/unix"

	"hickorypath/internal/core/settings"
)

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
	n := memoryBytes / connMemory
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		n = min(n, (int64(min(limit.Cur, math.MaxInt32))-reservedDescriptors)*connShare/connParts)
	}
	return int(max(n, 1))
}
