package intake

import (
	"syscall"
	"time"
)

const (
	// memoryShare is the inverse of the part of a process's memory that clients may hold by default, and
	// descriptorShare that of its descriptors. The rest is for the store, endpoints, other nodes and files.
	memoryShare     = 4
	descriptorShare = 2
	// bodyParts is how many times the size of its largest body a request may need: for the blocks in
	// which it arrives, the whole body, and what that decodes into.
	bodyParts = 4
)

// Settings are the limits of clients as operators set them. Memory, Connections and Descriptors are
// derived where they are 0.
type Settings struct {
	// Memory is what clients may hold, in bytes; 0 for a quarter of ProcessMemory.
	Memory int64
	// ProcessMemory is the memory of the whole process, in bytes.
	ProcessMemory int64
	// Connections is how many connections may be open; 0 for as many as Memory holds, and at most half
	// of Descriptors.
	Connections int
	// Descriptors is how many files and sockets the process may have open; 0 for the limit that it was
	// started with.
	Descriptors int
	// BodyTimeout and AnswerTimeout are those of Limits.
	BodyTimeout, AnswerTimeout time.Duration
}

// Limits returns the limits in force.
func (s Settings) Limits() Limits {
	l := Limits{Memory: s.Memory, Connections: s.Connections, BodyTimeout: s.BodyTimeout, AnswerTimeout: s.AnswerTimeout}
	if l.Memory == 0 {
		l.Memory = s.ProcessMemory / memoryShare
	}
	if l.Connections == 0 {
		l.Connections = min(int(l.Memory/connectionCost), s.descriptors()/descriptorShare)
	}
	return l
}

// descriptors returns the limit of open files and sockets.
func (s Settings) descriptors() int {
	if s.Descriptors > 0 {
		return s.Descriptors
	}
	const usual = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return usual
	}
	return int(limit.Cur)
}

// collectorShare is the share of a process's memory that becomes the garbage collector's limit; the rest
// is for the kernel's buffers and the program itself.
const collectorShare = 0.7

// CollectorLimit returns the garbage collector's limit for a process's memory, both in bytes.
func CollectorLimit(processMemory int64) int64 { return int64(float64(processMemory) * collectorShare) }

// MaxBody returns the size of the largest body that the memory of clients takes, in bytes.
func (s Settings) MaxBody() int64 { return s.Limits().maxBody() }

func (l Limits) maxBody() int64 { return int64(float64(l.Memory)*largeShare) / bodyParts }
