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

// heartbeatKind is a message kind used only by this measurement.
const heartbeatKind = "measure.heartbeat"

// meshSizes are the numbers of processes in a full mesh.
var meshSizes = []int{2, 4, 8, 14}

// measureHeartbeats measures the processor time per heartbeat, for sender and receiver together,
// in full meshes of peers over QUIC on loopback.
func measureHeartbeats(w io.Writer) error {
	rows := []row{{name: "processor time of a heartbeat, sent and received", unit: "µs"}}
	for _, n := range meshSizes {
		cost, err := meshCost(n)
		if err != nil {
			return err
		}
		rows[0].points = append(rows[0].points, point{float64(n), cost})
	}
	return writeTable(w, "peer links, by processes", rows)
}

func meshCost(n int) (micros float64, err error) {
	dir, err := os.MkdirTemp("", "cyclamen-measure")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	nodes, nodeIDs, err := newMesh(n, dir)
	defer func() {
		for _, p := range nodes {
			_ = p.Close()
		}
	}()
	if err != nil {
		return 0, err
	}
	var received atomic.Int64
	for _, p := range nodes {
		peer.HandleNotice(p, heartbeatKind, func(peer.Identity, node.Heartbeat) { received.Add(1) })
		if err := p.Start(); err != nil {
			return 0, err
		}
	}
	for i, p := range nodes {
		peers := make(map[string]string)
		for j := range nodes {
			if j != i {
				peers[nodeIDs[j].id] = nodes[j].LocalAddr().String()
			}
		}
		if err := p.SetPeers(peers); err != nil {
			return 0, err
		}
	}
	sendHeartbeats(nodes, nodeIDs, 20) // establish the links before measuring
	before, start := cpuTime(), received.Load()
	sendHeartbeats(nodes, nodeIDs, 100)
	return float64((cpuTime() - before).Microseconds()) / float64(received.Load()-start), nil
}

type nodeID struct{ id string }

func newMesh(n int, dir string) (nodes []*peer.Node, nodeIDs []nodeID, err error) {
	var ids []string
	for i := range n {
		nodeIDs = append(nodeIDs, nodeID{fmt.Sprintf("entry-%d", i)})
		ids = append(ids, "entry/"+nodeIDs[i].id)
	}
	if err := certs.Create(dir, "measure", ids...); err != nil {
		return nil, nil, err
	}
	for i := range n {
		conf, err := certs.LoadTLS(filepath.Join(dir, "ca.pem"),
			filepath.Join(dir, certs.CertFile(certs.RoleEntry, nodeIDs[i].id)),
			filepath.Join(dir, certs.KeyFile(certs.RoleEntry, nodeIDs[i].id)), certs.RoleEntry)
		if err != nil {
			return nodes, nil, err
		}
		p, err := peer.NewNode(peer.Options{
			Self:       peer.Identity{ID: nodeIDs[i].id, Role: "entry", BootID: "b"},
			Deployment: "measure", TLS: conf, Listen: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			return nodes, nil, err
		}
		nodes = append(nodes, p)
	}
	return nodes, nodeIDs, nil
}

// heartbeatPause is far longer than one round of a mesh takes. Otherwise the next heartbeat
// would replace one that is not sent yet.
const heartbeatPause = 30 * time.Millisecond

func sendHeartbeats(nodes []*peer.Node, nodeIDs []nodeID, rounds int) {
	hb := node.Heartbeat{Acked: 1 << 20, Generation: 1 << 10, Ready: true, ListVersion: 1 << 20}
	for range rounds {
		for i, p := range nodes {
			for j := range nodes {
				if i != j {
					_ = peer.Notify(p, nodeIDs[j].id, heartbeatKind, hb)
				}
			}
		}
		time.Sleep(heartbeatPause)
	}
}

// cpuTime returns the processor time used by this process so far.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
