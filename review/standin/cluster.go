package standin

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cyclamenwheel/internal/standin/loopback"
)

// program is what the deploy file runs, from the repository's root.
const program = "target/cyclamen-node"

// Node is one node's process.
type Node struct {
	Name, Front, ready string
	settings, log      string
	cmd                *exec.Cmd
	done               chan struct{}
}

// Cluster is a number of nodes.
type Cluster struct {
	Nodes []*Node
	dir   string
	rec   *Record
	net   *loopback.Network
}

// Ports of a node on its own loopback address.
const (
	portFront   = 8100
	portReady   = 8101
	portPeer    = 8200
	portMetrics = 8300
)

// settingsText is deploy/node.ini, filled in as for a small deployment.
const settingsText = `[process]
node = %s
zone = %s

[callers]
listen = %s
ready = %s

[peer]
listen = %s

[operator]
metrics = %s

[store]
address = %s
instances = %s
instance_orders_per_second = 64.0
orders = rpc
contracts = base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing

[bounds]
grace = 6s
longest_lease = 10000ms
stop_timeout = 400ms
keep_ended = 120s
lease_ttl = 3000ms
move = 1.5s
maintenance = 2s
endpoint_heartbeat = 1500ms
stable_window = 3000ms

[limits]
memory = 284MiB
processor = 0.4
`

// StartCluster starts nodes in the given zones, each on the address of the store that storeAddr
// returns for it. Settings and logs are in dir.
func StartCluster(dir string, rec *Record, zones []string, storeAddr func(node string) (string, error)) (*Cluster, error) {
	network, err := loopback.Claim()
	if err != nil {
		return &Cluster{}, err
	}
	c := &Cluster{dir: dir, rec: rec, net: network}
	for i, zone := range zones {
		n := &Node{Name: fmt.Sprintf("edge-%s-%d", zone, i+1)}
		n.settings, n.log = filepath.Join(dir, n.Name+".ini"), filepath.Join(dir, n.Name+".log")
		store, err := storeAddr(n.Name)
		if err != nil {
			return c, err
		}
		addr := func(port int) string { return fmt.Sprintf("%s:%d", network.IP(i+2), port) }
		n.Front, n.ready = addr(portFront), addr(portReady)
		text := fmt.Sprintf(settingsText, n.Name, zone, n.Front, n.ready, addr(portPeer), addr(portMetrics), store, store)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return c, err
		}
		c.Nodes = append(c.Nodes, n)
		if err := c.Run(n); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Run starts a node's process.
func (c *Cluster) Run(n *Node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("./" + program)
	cmd.Env = append(os.Environ(), "CYCLAMENWHEEL_NODE_FILE="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	c.rec.Printf("node %s started", n.Name)
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to a node's process.
func (c *Cluster) Signal(n *Node, s syscall.Signal) {
	c.rec.Printf("DISRUPTION: signal %s to node %s", s, n.Name)
	_ = n.cmd.Process.Signal(s)
}

// Ended reports whether a node's process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Await waits for a node's process to end.
func (n *Node) Await(limit time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Close ends all processes that are still running.
func (c *Cluster) Close() {
	if c.net != nil {
		c.net.Release()
	}
	for _, n := range c.Nodes {
		if n.cmd == nil || n.Ended() {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.done
	}
}

// AwaitReady waits until all nodes are ready.
func (c *Cluster) AwaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, n := range c.Nodes {
		for !n.Ready() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// Ready reports whether a node's readiness check succeeds.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/cyclamenwheel/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Client sends requests as the platform's entry passes them on: to ready nodes, and retries to others.
type Client struct {
	Cluster *Cluster
	Host    string
	Rec     *Record
	mu      sync.Mutex
	ready   []*Node
}

// Watch keeps the nodes in rotation up to date until stop is closed.
func (c *Client) Watch(stop <-chan struct{}) {
	misses := map[*Node]int{}
	for {
		var ready []*Node
		for _, n := range c.Cluster.Nodes {
			misses[n]++
			if !n.Ended() && n.Ready() {
				misses[n] = 0
			}
			if misses[n] < 2 {
				ready = append(ready, n)
			}
		}
		if len(ready) == 0 {
			ready = c.Cluster.Nodes
		}
		c.mu.Lock()
		c.ready = ready
		c.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (c *Client) pick(last *Node) *Node {
	c.mu.Lock()
	nodes := c.ready
	c.mu.Unlock()
	if len(nodes) == 0 {
		nodes = c.Cluster.Nodes
	}
	for range 8 {
		n := nodes[rand.IntN(len(nodes))]
		if n != last || len(nodes) == 1 {
			return n
		}
	}
	return nodes[0]
}

// DeadlineMs is how long clients wait for a response.
const DeadlineMs = 3000

// Once sends one request. Status 0 means that no complete answer came.
func (c *Client) Once(n *Node, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.Front+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = c.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Cyclamenwheel-Deadline-Ms", fmt.Sprint(DeadlineMs))
	client := http.Client{Timeout: DeadlineMs * time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// Call sends a request and, where its outcome is open, sends it again to other nodes, five times in all.
func (c *Client) Call(method, path, body string) (status int, answer string) {
	var last *Node
	for range 5 {
		last = c.pick(last)
		status, answer = c.Once(last, method, path, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, answer
}

// NewID returns a job's id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
