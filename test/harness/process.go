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

// Role is a process's duty.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Process is one process of the deployment, over all its restarts.
type Process struct {
	Role     Role
	ID       string
	Zone     string
	Instance string
	IP       string

	cluster   *Cluster
	settings  string
	logFile   string
	toPlat    *toxiproxy.Proxy
	peerProxy *quicproxy.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newProcess makes the next process of a role; it does not run yet.
func (c *Cluster) newProcess(role Role) *Process {
	ginkgo.GinkgoHelper()
	i := c.started[role]
	c.started[role]++
	p := &Process{
		Role: role, ID: fmt.Sprintf("%s-%d", role, i+1), Zone: zoneOf(i), Instance: instanceOf(role, i),
		IP: addressOf(c.net, role, i), cluster: c,
	}
	p.settings = filepath.Join(c.dir, p.ID+".ini")
	p.logFile = filepath.Join(c.dir, p.ID+".log")
	p.openPlatformLink()
	if c.opts.PeerProxies {
		p.openPeerLink()
	}
	return p
}

// Start starts the process under a new boot.
func (p *Process) Start() {
	ginkgo.GinkgoHelper()
	p.writeSettings()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cmd := exec.Command(binary("cyclamen-"+string(p.Role)), "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// Should the test itself be killed, its processes end with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	gomega.Expect(cmd.Start()).To(gomega.Succeed())
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	gomega.Expect(p.alive()).To(gomega.BeFalse(), p.ID+" runs already")
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
}

// Alive reports whether the process runs, frozen or not.
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

// signal sends sig to the process of the present boot.
func (p *Process) signal(sig syscall.Signal) <-chan struct{} {
	ginkgo.GinkgoHelper()
	p.mu.Lock()
	defer p.mu.Unlock()
	gomega.Expect(p.alive()).To(gomega.BeTrue(), p.ID+" does not run")
	gomega.Expect(p.cmd.Process.Signal(sig)).To(gomega.Succeed())
	return p.exited
}

// Kill ends the process at once and waits until it has ended.
func (p *Process) Kill() {
	ginkgo.GinkgoHelper()
	<-p.signal(syscall.SIGKILL)
}

// signalKill is Kill for those that must not fail a spec.
func (p *Process) signalKill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alive() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
}

// Freeze stops the process in its tracks, as a paused machine does; Wake lets
// it go on.
func (p *Process) Freeze() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGSTOP)
}

// Wake ends Freeze.
func (p *Process) Wake() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGCONT)
}

// Stop asks for a planned stop, waits for it and returns the exit code.
func (p *Process) Stop() int {
	ginkgo.GinkgoHelper()
	exited := p.signal(syscall.SIGTERM)
	gomega.Eventually(exited, Patience).Should(gomega.BeClosed(), p.ID+" has not stopped")
	return p.ExitCode()
}

// Exited is closed when the present boot has ended.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitCode is that of the last boot; -1 for one that a signal ended.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// Restart starts the process anew, killing it first if it runs.
func (p *Process) Restart() {
	ginkgo.GinkgoHelper()
	if p.Alive() {
		p.Kill()
	}
	p.Start()
}

// LoseHost takes the process's instance away from one moment to the next: the
// process ends and the platform lists the instance as gone.
func (p *Process) LoseHost() {
	ginkgo.GinkgoHelper()
	if p.Alive() {
		p.Kill()
	}
	gomega.Expect(p.cluster.Standin.SetState(bg, p.Instance, platform.StateGone)).To(gomega.Succeed())
}

// Replace brings a new instance in the place of a lost one, and starts the
// process on it.
func (p *Process) Replace() {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.cluster.Standin.SetState(bg, p.Instance, platform.StateLive)).To(gomega.Succeed())
	p.Start()
}

func (p *Process) reap() {
	p.signalKill()
	if exited := p.Exited(); exited != nil {
		<-exited
	}
}
