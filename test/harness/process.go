package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/Shopify/toxiproxy"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	quicproxy "github.com/quic-go/quic-go/integrationtests/tools/proxy"

	"cyclamenwheel/internal/platform"
)

// Role is the kind of program that a process runs.
type Role string

// The roles of the processes in a deployment.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Process is one process of the deployment across all its restarts.
type Process struct {
	Role     Role
	ID       string
	Zone     string
	Instance string
	IP       string

	cluster       *Cluster
	settingsFile  string
	logFile       string
	platformProxy *toxiproxy.Proxy
	peerProxy     *quicproxy.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newProcess creates the next process of a role with its proxies, without
// starting it.
func (c *Cluster) newProcess(role Role) *Process {
	ginkgo.GinkgoHelper()
	i := c.created[role]
	c.created[role]++
	p := &Process{
		Role: role, ID: fmt.Sprintf("%s-%d", role, i+1), Zone: zoneOf(i), Instance: instanceID(role, i),
		IP: addressOf(c.net, role, i), cluster: c,
	}
	p.settingsFile = filepath.Join(c.dir, p.ID+".ini")
	p.logFile = filepath.Join(c.dir, p.ID+".log")
	p.startPlatformProxy()
	if c.opts.PeerProxies {
		p.startPeerProxy()
	}
	return p
}

// Start starts a new incarnation of the process.
func (p *Process) Start() {
	ginkgo.GinkgoHelper()
	p.writeSettings()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cmd := exec.Command(binary("cyclamen-"+string(p.Role)), "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process if the test process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	gomega.Expect(cmd.Start()).To(gomega.Succeed())
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	gomega.Expect(p.alive()).To(gomega.BeFalse(), p.ID+" is already running")
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
}

// Alive reports whether the process exists, including while it is paused.
func (p *Process) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alive()
}

func (p *Process) alive() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends sig to the running incarnation and returns the channel that is
// closed when it exits.
func (p *Process) signal(sig syscall.Signal) <-chan struct{} {
	ginkgo.GinkgoHelper()
	p.mu.Lock()
	defer p.mu.Unlock()
	gomega.Expect(p.alive()).To(gomega.BeTrue(), p.ID+" is not running")
	gomega.Expect(p.cmd.Process.Signal(sig)).To(gomega.Succeed())
	return p.exited
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	ginkgo.GinkgoHelper()
	<-p.signal(syscall.SIGKILL)
}

// tryKill sends SIGKILL if the process runs; unlike Kill, it never fails the
// spec.
func (p *Process) tryKill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alive() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
}

// Freeze pauses the process with SIGSTOP, as on a paused machine, until Wake.
func (p *Process) Freeze() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGSTOP)
}

// Wake resumes a process that Freeze paused.
func (p *Process) Wake() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGCONT)
}

// Stop requests a graceful shutdown with SIGTERM, waits for it and returns
// the exit code.
func (p *Process) Stop() int {
	ginkgo.GinkgoHelper()
	exited := p.signal(syscall.SIGTERM)
	gomega.Eventually(exited, Timeout).Should(gomega.BeClosed(), p.ID+" has not stopped")
	return p.ExitCode()
}

// PID returns the id of the latest incarnation's process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Exited returns a channel that is closed when the latest incarnation has
// exited.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitCode returns the exit code of the latest incarnation, or -1 if a signal
// ended it.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// Restart starts a new incarnation, after killing the running one if there is
// one.
func (p *Process) Restart() {
	ginkgo.GinkgoHelper()
	if p.Alive() {
		p.Kill()
	}
	p.Start()
}

// LoseInstance simulates the sudden loss of the process's instance: the
// process is killed and the platform lists the instance as gone.
func (p *Process) LoseInstance() {
	ginkgo.GinkgoHelper()
	if p.Alive() {
		p.Kill()
	}
	gomega.Expect(p.cluster.Standin.SetState(bg, p.Instance, platform.StateGone)).To(gomega.Succeed())
}

// Replace lists the lost instance as live again, as a new instance in its
// place, and starts the process on it.
func (p *Process) Replace() {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.cluster.Standin.SetState(bg, p.Instance, platform.StateLive)).To(gomega.Succeed())
	p.Start()
}

func (p *Process) killAndWait() {
	p.tryKill()
	if exited := p.Exited(); exited != nil {
		<-exited
	}
}
