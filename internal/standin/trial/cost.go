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

// Cost is what the nodes spent on the tasks of a steady load.
type Cost struct {
	Jobs, Accepted, Tasks int
	// ProcessorMicros is the processor time of all nodes for each task.
	ProcessorMicros float64
	// Profiles are where the profiles lie, one for each node.
	Profiles []string
}

// NotMeasuredError says that a node did not answer a question about itself.
type NotMeasuredError struct {
	What  string
	Cause error
}

func (e *NotMeasuredError) Error() string { return e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotMeasuredError) Unwrap() error { return e.Cause }

// Load is a steady load of equal jobs on one pool.
type Load struct {
	Pool string
	// JobsPerSecond are handed in, of Width tasks and one more that follows them,
	// each of which works for WorkMs.
	JobsPerSecond, Width, WorkMs int
	Lasts                        time.Duration
}

// warmUp lets connections open and lengths of runs be learnt before the cost is taken.
const warmUp = 2 * time.Second

// MeasureCost loads a cluster steadily and takes what its nodes spend. Each node's
// profile of processor time goes to dir.
func MeasureCost(c *Cluster, host string, load Load, dir string) (Cost, error) {
	caller := &Caller{Cluster: c, Host: host}
	var done sync.WaitGroup
	var mu sync.Mutex
	var jobs []Submitted
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
	began := c.Platform.Started()
	before, err := c.processorSeconds()
	if err != nil {
		close(stop)
		return Cost{}, err
	}
	profiles, err := c.profiles(dir, load.Lasts)
	spent, spentErr := c.processorSeconds()
	tasks := c.Platform.Started() - began
	close(stop)
	done.Wait()
	if err != nil {
		return Cost{}, err
	}
	if spentErr != nil {
		return Cost{}, spentErr
	}
	out := Cost{Jobs: len(jobs), Tasks: tasks, Profiles: profiles,
		ProcessorMicros: (spent - before) * 1e6 / float64(max(1, tasks))}
	for _, j := range jobs {
		if j.Accepted {
			out.Accepted++
		}
	}
	return out, nil
}

// profiles takes a profile of every node at once.
func (c *Cluster) profiles(dir string, lasts time.Duration) ([]string, error) {
	paths := make([]string, len(c.nodes))
	errs := make([]error, len(c.nodes))
	var wg sync.WaitGroup
	for i, n := range c.nodes {
		paths[i] = fmt.Sprintf("%s/%s.pprof", dir, n.Name)
		wg.Go(func() {
			from := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", n.Operator, int(lasts.Seconds()))
			errs[i] = fetch(from, paths[i])
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

func fetch(from, path string) error {
	resp, err := http.Get(from)
	if err != nil {
		return &NotMeasuredError{What: "profile", Cause: err}
	}
	defer resp.Body.Close()
	out, err := os.Create(path)
	if err != nil {
		return &NotMeasuredError{What: "profile", Cause: err}
	}
	defer out.Close()
	if _, err := io.Copy(out, resp.Body); err != nil {
		return &NotMeasuredError{What: "profile", Cause: err}
	}
	return nil
}

const metricProcessor = "process_cpu_seconds_total"

// processorSeconds is the processor time of all nodes so far, by their metrics.
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

// AbsentMetricError says that a node does not tell a metric.
type AbsentMetricError struct{ Name string }

func (e *AbsentMetricError) Error() string { return e.Name + " is not among the metrics" }

// metric reads one metric of a node.
func metric(addr, name string) (float64, error) {
	resp, err := http.Get("http://" + addr + operator.PathMetrics)
	if err != nil {
		return 0, &NotMeasuredError{What: name, Cause: err}
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
			return 0, &NotMeasuredError{What: name, Cause: err}
		}
		return number, nil
	}
	return 0, &AbsentMetricError{Name: name}
}
