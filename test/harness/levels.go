package harness

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/operator"
)

// Levels are the numbers of goroutines and open files of a process.
type Levels struct{ Goroutines, Files int }

// Names of the metrics that Levels are read from.
const (
	metricGoroutines = "go_goroutines"
	metricFiles      = "process_open_fds"
)

// idleSamples is the number of samples for the levels of an idle process. One
// sample is not enough, as long polls and heartbeats start and end.
const idleSamples = 30

// Levels returns the current levels of the process.
func (p *Process) Levels() (Levels, error) {
	all, err := p.Metrics()
	return Levels{Goroutines: int(all[metricGoroutines]), Files: int(all[metricFiles])}, err
}

// Metrics returns the metrics of the process; the keys include the labels.
func (p *Process) Metrics() (map[string]float64, error) {
	resp, err := inspectClient.Get("http://" + p.OperatorAddr() + operator.PathMetrics)
	if err != nil {
		return nil, &UnansweredError{ID: p.ID, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &UnansweredError{ID: p.ID, Detail: resp.Status}
	}
	all := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if err == nil {
			all[name] = number
		}
	}
	return all, lines.Err()
}

// LevelsAtRest returns the highest levels of the idle process over several
// samples.
func (p *Process) LevelsAtRest() Levels {
	ginkgo.GinkgoHelper()
	var most Levels
	for range idleSamples {
		l, err := p.Levels()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(l.Goroutines).NotTo(gomega.BeZero())
		gomega.Expect(l.Files).NotTo(gomega.BeZero())
		most.Goroutines, most.Files = max(most.Goroutines, l.Goroutines), max(most.Files, l.Files)
		time.Sleep(PollInterval)
	}
	return most
}

// AwaitLevels waits until the levels of the process are down to the given
// ones.
func (p *Process) AwaitLevels(rest Levels) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func(g gomega.Gomega) {
		l, err := p.Levels()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(l.Goroutines).To(gomega.BeNumerically("<=", rest.Goroutines), "goroutines")
		g.Expect(l.Files).To(gomega.BeNumerically("<=", rest.Files), "open files")
	}, Timeout, PollInterval).Should(gomega.Succeed(), p.ID)
}

// PlainLogLines returns the lines of the process's log that are not JSON.
func (p *Process) PlainLogLines() []string {
	ginkgo.GinkgoHelper()
	data, err := os.ReadFile(p.logFile)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var plain []string
	for line := range bytes.Lines(data) {
		if !json.Valid(line) {
			plain = append(plain, string(line))
		}
	}
	return plain
}

// PeerAddr returns the address that peers dial.
func (p *Process) PeerAddr() string { return p.addr(portPeer) }

// Certificate issues a certificate signed by the deployment's CA.
func (c *Cluster) Certificate(role certs.Role, id string) tls.Certificate {
	ginkgo.GinkgoHelper()
	gomega.Expect(certs.Create(c.dir, Deployment, string(role)+"/"+id)).To(gomega.Succeed())
	return loadKeyPair(c.dir, role, id)
}

// ForeignCertificate issues a certificate with the same name, signed by
// another CA.
func (c *Cluster) ForeignCertificate(role certs.Role, id string) tls.Certificate {
	ginkgo.GinkgoHelper()
	dir := filepath.Join(c.dir, "foreign")
	gomega.Expect(certs.Create(dir, Deployment, string(role)+"/"+id)).To(gomega.Succeed())
	return loadKeyPair(dir, role, id)
}

func loadKeyPair(dir string, role certs.Role, id string) tls.Certificate {
	ginkgo.GinkgoHelper()
	pair, err := tls.LoadX509KeyPair(
		filepath.Join(dir, certs.CertFile(role, id)), filepath.Join(dir, certs.KeyFile(role, id)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return pair
}
