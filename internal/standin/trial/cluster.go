// Package trial runs cyclamen-node processes on loopback against the simulated platform of
// package wire, submits jobs as callers do, and checks the states that callers see. It takes the
// path of the program, a platform, and a load or a seed of random faults, and reports unfinished
// jobs and violations, or the CPU time per task. The command cyclamen-trial and the tests in
// test/platform and test/restarts call it.
package trial

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/standin/loopback"
	"cyclamenwheel/internal/standin/wire"
)

// BuildNode builds cyclamen-node in a directory and returns the path of the program.
func BuildNode(dir string) (string, error) {
	program := filepath.Join(dir, "cyclamen-node")
	if out, err := exec.Command("go", "build", "-o", program, "cyclamenwheel/cmd/cyclamen-node").CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build cyclamen-node: %s", out)
	}
	return program, nil
}

// Cluster is a platform and the nodes that run against it.
type Cluster struct {
	Platform *wire.Platform
	program  string
	dir      string
	opts     Options
	net      *loopback.Network
	nodes    []*Node
}

// Node is one cyclamen-node process.
type Node struct {
	Name, Front, ready string
	// Operator is the address of the node's operator interface.
	Operator               string
	settings, log, metrics string
	cmd                    *exec.Cmd
	done                   chan struct{}
}

// StartError reports a process that could not be started.
type StartError struct {
	What  string
	Cause error
}

func (e *StartError) Error() string { return "starting " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Options configure the nodes of a cluster.
type Options struct {
	// Env is added to the environment of the nodes.
	Env []string
	// OverloadControl is the value of that setting; empty for the default.
	OverloadControl string
	// Memory is the setting of that name in [limits], with its unit; empty for the default.
	Memory string
	// Descriptors is the limit of open files that the nodes are started with; 0 leaves it as it is.
	Descriptors int
}

// Start is StartWith, with env added to the environment of the nodes.
func Start(program, dir string, platform *wire.Platform, nodes int, env ...string) (*Cluster, error) {
	return StartWith(program, dir, platform, nodes, Options{Env: env})
}

// StartWith starts the given number of nodes. Their settings and logs are written to dir.
func StartWith(program, dir string, platform *wire.Platform, nodes int, opts Options) (*Cluster, error) {
	network, err := loopback.Claim()
	if err != nil {
		return nil, &StartError{What: "network", Cause: err}
	}
	c := &Cluster{Platform: platform, program: program, dir: dir, opts: opts, net: network}
	for i := range nodes {
		n, err := c.prepare(i)
		if err == nil {
			err = c.Run(n)
		}
		if err != nil {
			c.Close()
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	return c, nil
}

// Nodes returns all nodes, running or not.
func (c *Cluster) Nodes() []*Node { return c.nodes }

// Ports on a node's own loopback address.
const (
	portCallers   = 8100
	portReady     = 8101
	portPeer      = 8200
	portMetrics   = 8300
	portOperators = 8301
)

// prepare writes the settings of the i-th node.
func (c *Cluster) prepare(i int) (*Node, error) {
	name := fmt.Sprintf("node-%d", i+1)
	addrAt := func(port int) string { return fmt.Sprintf("%s:%d", c.net.IP(i+2), port) }
	n := &Node{Name: name, Front: addrAt(portCallers), ready: addrAt(portReady), Operator: addrAt(portOperators), metrics: addrAt(portMetrics),
		settings: filepath.Join(c.dir, name+".ini"), log: filepath.Join(c.dir, name+".log")}
	text := fmt.Sprintf("[process]\nnode = %s\nzone = z\n[callers]\nlisten = %s\nready = %s\n[peer]\nlisten = %s\n[store]\naddress = %s\ninstances = %s\ninstance_orders_per_second = 64.0\n[operator]\nlisten = %s\nmetrics = %s\n[bounds]\nmove = 300ms\nlease_ttl = 500ms\nendpoint_heartbeat = %s\nstable_window = %s\n",
		name, n.Front, n.ready, addrAt(portPeer), c.Platform.Addr(), c.Platform.Addr(), n.Operator, addrAt(portMetrics), wire.Heartbeat, wire.StableWindow)
	if c.Platform.HasAccounts() {
		text = strings.Replace(text, "[store]\n", "[store]\ncontracts = tenants\n", 1)
	}
	if c.opts.OverloadControl != "" {
		text = strings.Replace(text, "[callers]\n", "[callers]\noverload_control = "+c.opts.OverloadControl+"\n", 1)
	}
	if c.opts.Memory != "" {
		text += "[limits]\nmemory = " + c.opts.Memory + "\n"
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, &StartError{What: name, Cause: err}
	}
	return n, nil
}

// Run starts a node's process, for the first time or after it has ended.
func (c *Cluster) Run(n *Node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &StartError{What: n.Name, Cause: err}
	}
	n.cmd = c.command()
	n.cmd.Env = append(os.Environ(), "CYCLAMENWHEEL_NODE_FILE="+n.settings)
	n.cmd.Env = append(n.cmd.Env, c.opts.Env...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return &StartError{What: n.Name, Cause: err}
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // failures show in what callers see
		log.Close()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// command returns the command that starts a node. A shell lowers the limit of open files, as the
// runtime of a node that is running has raised its own already.
func (c *Cluster) command() *exec.Cmd {
	if c.opts.Descriptors == 0 {
		return exec.Command(c.program)
	}
	return exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, c.opts.Descriptors), c.program)
}

// PID returns the id of the node's process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Ended reports whether the node's process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Wait waits for the node's process to end and returns its exit code.
func (n *Node) Wait() int {
	<-n.done
	return n.cmd.ProcessState.ExitCode()
}

// Log returns the output of the node.
func (n *Node) Log() string {
	data, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Ready reports whether the readiness check of the node succeeds.
func (n *Node) Ready() bool {
	resp, err := http.Get("http://" + n.ready + "/cyclamenwheel/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close kills the nodes that are still running.
func (c *Cluster) Close() {
	defer c.net.Release()
	for _, n := range c.nodes {
		if !n.Ended() {
			_ = n.cmd.Process.Kill() // the process may have ended meanwhile
			<-n.done
		}
	}
}

// Caller sends requests for one host to the nodes in turn.
type Caller struct {
	Cluster *Cluster
	Host    string
	// Account is the client account that Key belongs to; both are empty for requests without a
	// key.
	Account, Key string
	mu           sync.Mutex
	next         int
}

// callTimeout is the timeout of one request.
const callTimeout = 3 * time.Second

// Do sends one request to the next node. Status 0 means that no complete answer arrived.
func (c *Caller) Do(method, path, body string) (status int, answer string) {
	c.mu.Lock()
	node := c.Cluster.nodes[c.next%len(c.Cluster.nodes)]
	c.next++
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+node.Front+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = c.Host
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	client := http.Client{Timeout: callTimeout}
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
