package rig2

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// resident is the resident memory of a node's process in MB, 0 if unknown.
func (n *Node) resident() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// WatchMemory does what the platform does to a process that exceeds its memory: it kills it and
// starts it again after a short delay.
func (c *Cluster) WatchMemory(limitMB int, restart time.Duration) {
	for _, n := range c.Nodes {
		go func() {
			most := 0
			for !c.closing.Load() {
				time.Sleep(20 * time.Millisecond)
				mb := n.resident()
				if mb > most+50 {
					most = mb
					c.Record.Line("%s has %d MB", n.Name, mb)
				}
				if mb <= limitMB {
					continue
				}
				c.Record.Line("%s has %d MB of %d", n.Name, mb, limitMB)
				c.killed.Add(1)
				n.Signal(syscall.SIGKILL)
				<-n.ended
				time.Sleep(restart)
				if c.closing.Load() {
					return
				}
				if err := c.start(n); err != nil {
					c.Record.Line("%s does not start: %v", n.Name, err)
					return
				}
				most = 0
			}
		}()
	}
}

// Killed is how many processes have been killed for their memory.
func (c *Cluster) Killed() int { return int(c.killed.Load()) }
