package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// NewRecord returns a record in a file of the case's folder.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: io.MultiWriter(f, os.Stdout), began: time.Now()}, nil
}

// Line writes a line with the time since the beginning.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// At is a time as the record writes it.
func (r *Record) At(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

// settings follows deploy/node.ini with the bounds of the small site gridlog-lk.
const settings = `[process]
node = %[1]s
zone = colombo-a

[callers]
listen = %[2]s:8624
ready = %[2]s:8622

[peer]
listen = %[2]s:7060

[operator]
metrics = %[2]s:7061

[store]
address = %[3]s
instances = %[3]s
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

// Node is one process of the system.
type Node struct {
	Name, Front string
	client      *http.Client
	cmd         *exec.Cmd
	ended       chan struct{}
	record      *Record
}

// Cluster is a platform with its nodes.
type Cluster struct {
	*Platform
	Nodes  []*Node
	prefix string
	lock   net.Listener
	dir    string
}

// command is the command of the role in the deploy file.
func command() (string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(rest, `"`), nil
		}
	}
	return "", os.ErrNotExist
}

// NewCluster starts a platform; its addresses are in a loopback network of its own.
func NewCluster(record *Record) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	c := &Cluster{dir: dir}
	for i := 0; c.lock == nil; i++ {
		if i == 1000 {
			return nil, net.ErrClosed
		}
		n := os.Getpid()*3 + i
		c.prefix = fmt.Sprintf("127.%d.%d.", 30+n/256%200, n%256)
		c.lock, _ = net.Listen("tcp", c.prefix+"1:8900")
	}
	if c.Platform, err = NewPlatform(c.prefix+"1", record); err != nil {
		return nil, err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		c.Close()
		os.Exit(CannotRun)
	}()
	return c, nil
}

// IP is an address in the cluster's network.
func (c *Cluster) IP(host int) string { return fmt.Sprintf("%s%d", c.prefix, host) }

// StartNodes starts nodes and waits until all are ready.
func (c *Cluster) StartNodes(count int) error {
	for i := range count {
		n := &Node{Name: fmt.Sprintf("edge-colombo-a-%d", i+1), Front: c.IP(10+i) + ":8624", record: c.Record,
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
		file := filepath.Join(c.dir, n.Name+".ini")
		if err := os.WriteFile(file, fmt.Appendf(nil, settings, n.Name, c.IP(10+i), c.addr), 0o600); err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
		if err := c.start(n); err != nil {
			return err
		}
	}
	until := time.Now().Add(20 * time.Second)
	for i := range c.Nodes {
		for !c.ready(i) {
			if time.Now().After(until) {
				return os.ErrDeadlineExceeded
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.Record.Line("%d nodes are ready", count)
	return nil
}

// start starts the node's process, for the first time or once more.
func (c *Cluster) start(n *Node) error {
	run, err := command()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(run)
	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Env = append(os.Environ(), "CYCLAMENWHEEL_NODE_FILE="+filepath.Join(c.dir, n.Name+".ini"))
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		c.Record.Line("%s has ended: %v", n.Name, err)
		close(ended)
	}(n.cmd)
	return nil
}

func (c *Cluster) ready(i int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.IP(10+i) + ":8622/cyclamenwheel/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Restart starts the node's process again after it has ended.
func (c *Cluster) Restart(n *Node) error {
	<-n.ended
	return c.start(n)
}

// Ended reports whether the node's process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// Log returns what a node has written.
func (c *Cluster) Log(n *Node) string {
	data, err := os.ReadFile(filepath.Join(c.dir, n.Name+".log"))
	if err != nil {
		return ""
	}
	return string(data)
}

// OwnerOf returns the node that claimed the pool last, by the nodes' logs.
func (c *Cluster) OwnerOf(pool string) *Node {
	var owner *Node
	newest := 0.0
	for _, n := range c.Nodes {
		for line := range strings.Lines(c.Log(n)) {
			var in struct {
				Msg, Pool string
				Epoch     float64
			}
			if strings.Contains(line, "pool claimed") && json.Unmarshal([]byte(line), &in) == nil && in.Pool == pool && in.Epoch > newest {
				owner, newest = n, in.Epoch
			}
		}
	}
	return owner
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.record.Line("%s gets %s", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// Close ends all that was started. With KEEP set, the settings and logs of the nodes stay.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if !n.Ended() {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	c.Platform.Close()
	_ = c.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// Step is one step of a job; its work is what the stand-in of the workers gives each task to do.
type Step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMb       int   `json:"memMb"`
	EstMs       int   `json:"estMs"`
	After       []int `json:"after,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`

	work time.Duration
}

// Lasting returns the step with tasks that take this long.
func (s Step) Lasting(work time.Duration) Step {
	s.work = work
	return s
}

// Job is what a client hands in.
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
}

// Answer is a node's answer to a client; Status is 0 where there was none.
type Answer struct {
	Status int
	State  string
	Sent   time.Time
	At     time.Time
}

const clientDeadline = 3 * time.Second

// Send sends a client's request to a node and records both ways.
func (c *Cluster) Send(n *Node, method string, route Route, id, body string) Answer {
	return c.send(n, method, route, id, body, true)
}

func (c *Cluster) send(n *Node, method string, route Route, id, body string, record bool) Answer {
	req, err := http.NewRequest(method, "http://"+n.Front+route.Prefix+id, bytes.NewBufferString(body))
	if err != nil {
		return Answer{}
	}
	req.Host = route.Host
	req.Header.Set("Cyclamenwheel-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	out := Answer{Sent: time.Now()}
	if record {
		c.Record.Line("client: %s %s%s to %s", method, route.Prefix, id, n.Name)
	}
	client := *n.client
	client.Timeout = clientDeadline
	resp, err := client.Do(req)
	out.At = time.Now()
	if err != nil {
		if record {
			c.Record.Line("client: no answer to %s %s%s: %v", method, route.Prefix, id, err)
		}
		return out
	}
	defer resp.Body.Close()
	var in struct {
		State string `json:"state"`
	}
	data, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(data, &in)
	out.Status, out.State = resp.StatusCode, in.State
	if record {
		c.Record.Line("client: %s answers %d %s to %s %s%s", n.Name, out.Status, strings.TrimSpace(string(data)), method, route.Prefix, id)
	}
	return out
}

// Submit hands a job in and makes its steps known to the workers.
func (c *Cluster) Submit(n *Node, route Route, id string, job Job) Answer {
	c.mu.Lock()
	c.jobs[id] = job
	c.mu.Unlock()
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}
	}
	return c.Send(n, http.MethodPost, route, id, string(body))
}

// Ask asks for a job's state without a line in the record.
func (c *Cluster) Ask(n *Node, route Route, id string) Answer {
	return c.send(n, http.MethodGet, route, id, "", false)
}

// Fail ends a case that could not run.
func Fail(record *Record, format string, args ...any) int {
	record.Line("the case could not run: "+format, args...)
	return CannotRun
}
