package trial

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cyclamenwheel/internal/operator"
)

// Cost is what the nodes spent under a steady load.
type Cost struct {
	Jobs, Accepted, Tasks int
	// ProcessorMicros is the CPU time of all nodes per started task, in microseconds.
	ProcessorMicros float64
	// Profiles are the paths of the CPU profiles, one per node.
	Profiles []string
}

// MeasurementError reports a measurement that could not be read from a node.
type MeasurementError struct {
	What  string
	Cause error
}

func (e *MeasurementError) Error() string { return e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MeasurementError) Unwrap() error { return e.Cause }

// Load is a steady load of equal jobs on one pool.
type Load struct {
	Pool string
	// JobsPerSecond jobs are submitted, each with Width tasks and one more task that depends on
	// them. Every task runs for WorkMs.
	JobsPerSecond, Width, WorkMs int
	Duration                     time.Duration
}

// warmUp is the load time before the measurement, in which connections open and nodes estimate
// run lengths.
const warmUp = 2 * time.Second

// MeasureCost runs a steady load and measures the CPU time that the nodes spend on it. Each
// node's CPU profile is written to dir.
func MeasureCost(c *Cluster, host string, load Load, dir string) (Cost, error) {
	caller := &Caller{Cluster: c, Host: host}
	var done sync.WaitGroup
	var mu sync.Mutex
	var jobs []Submission
	stop := make(chan struct{})
	done.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / time.Duration(load.JobsPerSecond)):
			}
			done.Go(func() {
				j := caller.Submit(load.Pool, n, load.Width, load.WorkMs)
				mu.Lock()
				defer mu.Unlock()
				jobs = append(jobs, j)
			})
		}
	})
	time.Sleep(warmUp)
	startedBefore := c.Platform.Started()
	before, err := c.processorSeconds()
	if err != nil {
		close(stop)
		return Cost{}, err
	}
	profiles, err := c.profiles(dir, load.Duration)
	after, afterErr := c.processorSeconds()
	tasks := c.Platform.Started() - startedBefore
	close(stop)
	done.Wait()
	if err != nil {
		return Cost{}, err
	}
	if afterErr != nil {
		return Cost{}, afterErr
	}
	out := Cost{Jobs: len(jobs), Tasks: tasks, Profiles: profiles,
		ProcessorMicros: (after - before) * 1e6 / float64(max(1, tasks))}
	for _, j := range jobs {
		if j.Accepted {
			out.Accepted++
		}
	}
	return out, nil
}

// profiles takes a CPU profile of all nodes at the same time.
func (c *Cluster) profiles(dir string, duration time.Duration) ([]string, error) {
	paths := make([]string, len(c.nodes))
	errs := make([]error, len(c.nodes))
	var wg sync.WaitGroup
	for i, n := range c.nodes {
		paths[i] = fmt.Sprintf("%s/%s.pprof", dir, n.Name)
		wg.Go(func() {
			url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", n.Operator, int(duration.Seconds()))
			errs[i] = fetch(url, paths[i])
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return paths, nil
}

func fetch(url, path string) error {
	resp, err := http.Get(url)
	if err != nil {
		return &MeasurementError{What: "profile", Cause: err}
	}
	defer resp.Body.Close()
	out, err := os.Create(path)
	if err != nil {
		return &MeasurementError{What: "profile", Cause: err}
	}
	defer out.Close()
	if _, err := io.Copy(out, resp.Body); err != nil {
		return &MeasurementError{What: "profile", Cause: err}
	}
	return nil
}

const metricProcessor = "process_cpu_seconds_total"

// processorSeconds is the total CPU time of all nodes according to their metrics.
func (c *Cluster) processorSeconds() (float64, error) {
	sum := 0.0
	for _, n := range c.nodes {
		seconds, err := metric(n.metrics, metricProcessor)
		if err != nil {
			return 0, err
		}
		sum += seconds
	}
	return sum, nil
}

// MissingMetricError reports a metric that a node does not expose.
type MissingMetricError struct{ Name string }

func (e *MissingMetricError) Error() string { return e.Name + " is not among the metrics" }

// metric reads one metric of the node at addr.
func metric(addr, name string) (float64, error) {
	resp, err := http.Get("http://" + addr + operator.PathMetrics)
	if err != nil {
		return 0, &MeasurementError{What: name, Cause: err}
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), name+" ")
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, &MeasurementError{What: name, Cause: err}
		}
		return number, nil
	}
	return 0, &MissingMetricError{Name: name}
}
