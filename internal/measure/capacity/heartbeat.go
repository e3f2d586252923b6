package capacity

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/peer"
)

// heartbeatKind is a kind of message for the measurement alone.
const heartbeatKind = "measure.heartbeat"

// meshSizes are numbers of processes that all send to all.
var meshSizes = []int{2, 4, 8, 14}

// heartbeatCosts measures the processor time of heartbeats over QUIC on
// loopback, sender and receiver together, by processes that send to all others.
func heartbeatCosts(w io.Writer) error {
	rows := []row{{name: "processor time of a heartbeat, sent and received", unit: "µs"}}
	for _, n := range meshSizes {
		cost, err := meshCost(n)
		if err != nil {
			return err
		}
		rows[0].points = append(rows[0].points, point{float64(n), cost})
	}
	return table(w, "peer links, by processes", rows)
}

func meshCost(n int) (micros float64, err error) {
	dir, err := os.MkdirTemp("", "cyclamen-measure")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	nodes, addrs, err := mesh(n, dir)
	defer func() {
		for _, p := range nodes {
			_ = p.Close()
		}
	}()
	if err != nil {
		return 0, err
	}
	var got atomic.Int64
	for _, p := range nodes {
		peer.HandleNotice(p, heartbeatKind, func(peer.Identity, node.Heartbeat) { got.Add(1) })
		if err := p.Start(); err != nil {
			return 0, err
		}
	}
	for i, p := range nodes {
		wanted := make(map[string]string)
		for j := range nodes {
			if j != i {
				wanted[addrs[j].id] = nodes[j].LocalAddr().String()
			}
		}
		if err := p.SetPeers(wanted); err != nil {
			return 0, err
		}
	}
	beats(nodes, addrs, 20) // links come up
	before, start := cpuTime(), got.Load()
	beats(nodes, addrs, 100)
	return float64((cpuTime() - before).Microseconds()) / float64(got.Load()-start), nil
}

type named struct{ id string }

func mesh(n int, dir string) (nodes []*peer.Node, addrs []named, err error) {
	var ids []string
	for i := range n {
		addrs = append(addrs, named{fmt.Sprintf("entry-%d", i)})
		ids = append(ids, "entry/"+addrs[i].id)
	}
	if err := certs.Create(dir, "measure", ids...); err != nil {
		return nil, nil, err
	}
	for i := range n {
		conf, err := certs.LoadTLS(filepath.Join(dir, "ca.pem"),
			filepath.Join(dir, certs.CertFile(certs.RoleEntry, addrs[i].id)),
			filepath.Join(dir, certs.KeyFile(certs.RoleEntry, addrs[i].id)), certs.RoleEntry)
		if err != nil {
			return nodes, nil, err
		}
		p, err := peer.NewNode(peer.Options{
			Self:       peer.Identity{ID: addrs[i].id, Role: "entry", BootID: "b"},
			Deployment: "measure", TLS: conf, Listen: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			return nodes, nil, err
		}
		nodes = append(nodes, p)
	}
	return nodes, addrs, nil
}

// beatPause is far above the time that one round of a mesh takes, so that no
// heartbeat is overtaken by the next one, which would replace it.
const beatPause = 30 * time.Millisecond

func beats(nodes []*peer.Node, addrs []named, rounds int) {
	hb := node.Heartbeat{Acked: 1 << 20, Generation: 1 << 10, Ready: true, ListVersion: 1 << 20}
	for range rounds {
		for i, p := range nodes {
			for j := range nodes {
				if i != j {
					_ = peer.Notify(p, addrs[j].id, heartbeatKind, hb)
				}
			}
		}
		time.Sleep(beatPause)
	}
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
