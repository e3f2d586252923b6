package misbehaving_test

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sampleInterval is the interval between two readings of a process's use.
const sampleInterval = 20 * time.Millisecond

// sample is what a process holds: its resident memory with the bytes that its connections have
// received and not read, and its open descriptors.
type sample struct {
	resident, unread, memory int64
	descriptors              int
}

func (s sample) String() string {
	const mib = 1 << 20
	return fmt.Sprintf("%d MiB resident, %d MiB unread, %d MiB together, %d descriptors", s.resident/mib, s.unread/mib, s.memory/mib, s.descriptors)
}

// usage holds the highest readings of one process.
type usage struct {
	pid   int
	local string // the address of its callers' connections, as the kernel lists it

	mu      sync.Mutex
	highest sample
}

// watch reads the use of a process until the end of the spec.
func watch(pid int, listen string) *usage {
	GinkgoHelper()
	addr, err := netip.ParseAddrPort(listen)
	Expect(err).NotTo(HaveOccurred())
	ip := addr.Addr().As4()
	slices.Reverse(ip[:])
	u := &usage{pid: pid, local: fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip[:])), addr.Port())}
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			u.read()
			select {
			case <-tick.C:
			case <-ended:
				return
			}
		}
	})
	DeferCleanup(func() {
		close(ended)
		wg.Wait()
	})
	return u
}

func (u *usage) read() {
	now := sample{resident: u.statusBytes("VmRSS:"), unread: u.unreadBytes()}
	now.memory = max(now.resident+now.unread, u.statusBytes("VmHWM:"))
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)); err == nil {
		now.descriptors = len(entries)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.highest = sample{resident: max(u.highest.resident, now.resident), unread: max(u.highest.unread, now.unread),
		memory: max(u.highest.memory, now.memory), descriptors: max(u.highest.descriptors, now.descriptors)}
}

// statusBytes returns a size from the status of the process, 0 once that has ended.
func (u *usage) statusBytes(name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name); ok {
			kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kib << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes in the receive queues of the connections to the process.
func (u *usage) unreadBytes() (total int64) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const columnLocal, columnQueues = 1, 4
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) <= columnQueues || columns[columnLocal] != u.local {
			continue
		}
		_, received, _ := strings.Cut(columns[columnQueues], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}

func (u *usage) peak() sample {
	u.read()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.highest
}
