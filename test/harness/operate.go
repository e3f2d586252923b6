package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/internal/manifest"
)

// manifestHistory records the manifests that were accepted.
type manifestHistory struct {
	mu        sync.Mutex
	published []publishedManifest
}

type publishedManifest struct {
	generation uint64
	manifest   *manifest.Manifest
}

func (l *manifestHistory) add(generation uint64, m *manifest.Manifest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.published = append(l.published, publishedManifest{generation: generation, manifest: m})
}

func (l *manifestHistory) all() []publishedManifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]publishedManifest{}, l.published...)
}

// CtlResult is the exit code and output of a cyclamenctl run.
type CtlResult struct {
	Code     int
	Out, Err string
}

// Ctl runs cyclamenctl.
func (c *Cluster) Ctl(args ...string) CtlResult {
	ginkgo.GinkgoHelper()
	cmd := exec.Command(binary("cyclamenctl"), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	_ = cmd.Run()
	gomega.Expect(cmd.ProcessState).NotTo(gomega.BeNil())
	return CtlResult{Code: cmd.ProcessState.ExitCode(), Out: out.String(), Err: errOut.String()}
}

// TryPublish publishes a manifest with further flags and returns the result
// of cyclamenctl. An accepted manifest is recorded for the checks.
func (c *Cluster) TryPublish(m *manifest.Manifest, flags ...string) (ctl.Published, CtlResult) {
	ginkgo.GinkgoHelper()
	data, err := m.Encode()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	file, err := os.CreateTemp(c.dir, "manifest-*.json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = file.Write(data)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(file.Close()).To(gomega.Succeed())
	args := append([]string{"publish", filepath.Clean(file.Name()), "--json", "--platform", c.PlatformURL}, flags...)
	res := c.Ctl(args...)
	var pub ctl.Published
	if res.Code == ctl.ExitOK {
		gomega.Expect(json.Unmarshal([]byte(res.Out), &pub)).To(gomega.Succeed(), res.Out)
		c.manifests.add(pub.Generation, m)
	}
	return pub, res
}

// Publish publishes a manifest and waits until it is in force on every live
// entry.
func (c *Cluster) Publish(m *manifest.Manifest, flags ...string) ctl.Published {
	ginkgo.GinkgoHelper()
	pub, res := c.TryPublish(m, append([]string{"--wait", "--timeout", Timeout.String()}, flags...)...)
	gomega.Expect(res.Code).To(gomega.Equal(ctl.ExitOK), res.Err)
	c.generations.raiseFloor(pub.Generation)
	return pub
}

// AwaitSettled waits until every pool has its instances and no operation is in
// progress.
func (c *Cluster) AwaitSettled() {
	ginkgo.GinkgoHelper()
	res := c.Ctl("settled", "--platform", c.PlatformURL, "--timeout", Timeout.String())
	gomega.Expect(res.Code).To(gomega.Equal(ctl.ExitOK), res.Err)
}

// Form publishes the first manifest, waits until the fleet is formed and all
// entries are ready, and then resets the availability timeline, so that Check
// covers only what follows.
func (c *Cluster) Form(m *manifest.Manifest) {
	ginkgo.GinkgoHelper()
	c.Publish(m)
	c.AwaitSettled()
	for _, e := range c.Entries() {
		e.AwaitReady()
	}
	gomega.Expect(c.Standin.ResetAvailability(bg)).To(gomega.Succeed())
}

// AwaitRevision waits until the platform lists every instance of a pool at the
// maintenance revision or a later one, with no operation in progress.
func (c *Cluster) AwaitRevision(pool string, revision int) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func(g gomega.Gomega) {
		rows, err := c.Standin.Instances(bg)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, row := range rows {
			if row.Pool == pool && row.State != "gone" {
				g.Expect(row.Revision).To(gomega.BeNumerically(">=", revision), row.ID)
				g.Expect(row.OperationInProgress).To(gomega.BeEmpty(), row.ID)
			}
		}
	}, Timeout, PollInterval).Should(gomega.Succeed())
	c.AwaitSettled()
}

// ServicePool describes a pool and the service of the same name that it
// answers.
type ServicePool struct {
	Name         string
	Count        int
	IDs          []string
	MinAvailable int
	Revision     int
}

// requestDeadline is the deadline of all request classes.
const requestDeadline = 5 * time.Second

// Manifest builds a manifest in which each pool answers the service of the
// same name.
func Manifest(waveParallel int, list ...ServicePool) *manifest.Manifest {
	m := &manifest.Manifest{
		Version: manifest.Version, Deployment: Deployment,
		Buffer: manifest.Buffer{Survive: manifest.DomainInstance, WaveParallel: waveParallel},
	}
	for _, sp := range list {
		m.Pools = append(m.Pools, manifest.Pool{
			Name: sp.Name, Instances: manifest.Selection{Count: sp.Count, IDs: sp.IDs},
			Maintenance: manifest.Maintenance{Revision: sp.Revision},
		})
		m.Services = append(m.Services, manifest.Service{
			Name: sp.Name, Pool: sp.Name, MinAvailable: sp.MinAvailable,
			Classes: []manifest.Class{
				{Name: "read", Methods: []string{"GET"}, Idempotent: true, DeadlineMillis: requestDeadline.Milliseconds()},
				{Name: "write", Methods: []string{"POST"}, DeadlineMillis: requestDeadline.Milliseconds()},
			},
		})
	}
	return m
}

// WorkerIDs returns the IDs of workers by their numbers, counted from 1.
func WorkerIDs(numbers ...int) []string {
	ids := make([]string, len(numbers))
	for i, n := range numbers {
		ids[i] = fmt.Sprintf("w%03d", n)
	}
	return ids
}
