package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cyclamenwheel/internal/platform"
)

// controlTimeout bounds a control API call; the largest response is a page of the
// history.
const controlTimeout = 30 * time.Second

// ControlClient is a client of the control API: it injects faults, changes
// instances and settings, and reads the actual state.
type ControlClient struct {
	base string
	hc   *http.Client
}

// NewControlClient returns a client for the control API at baseURL.
func NewControlClient(baseURL string) *ControlClient {
	return &ControlClient{base: strings.TrimRight(baseURL, "/"),
		hc: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (c *ControlClient) Close() { c.hc.CloseIdleConnections() }

// Instances returns the actual state of all instances, without lag.
func (c *ControlClient) Instances(ctx context.Context) ([]ActualInstance, error) {
	var out []ActualInstance
	err := c.do(ctx, http.MethodGet, pathControlInstances, nil, &out)
	return out, err
}

// Change changes the state, pool, address or entry row of an instance.
func (c *ControlClient) Change(ctx context.Context, id string, change InstanceChange) error {
	return c.do(ctx, http.MethodPut, instancePath(id), change, nil)
}

// SetState changes only the state of an instance.
func (c *ControlClient) SetState(ctx context.Context, id string, state platform.InstanceState) error {
	return c.Change(ctx, id, InstanceChange{State: state})
}

// SetPool changes only the pool of an instance, without a reboot.
func (c *ControlClient) SetPool(ctx context.Context, id, pool string) error {
	return c.Change(ctx, id, InstanceChange{Pool: &pool})
}

// PutEntry adds an entry or changes its zone and address.
func (c *ControlClient) PutEntry(ctx context.Context, id, zone, addr string) error {
	return c.Change(ctx, id, InstanceChange{Entry: &EntryRow{Zone: zone, Addr: addr}})
}

// Remove takes an instance down and removes it from the list.
func (c *ControlClient) Remove(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, instancePath(id), nil, nil)
}

// SetEndpointFault sets the faults injected at an instance's endpoint; the zero
// value clears them.
func (c *ControlClient) SetEndpointFault(ctx context.Context, id string, f EndpointFault) error {
	return c.do(ctx, http.MethodPut, instancePath(id)+"/fault", f, nil)
}

// SetFailing makes a worker fail every task, or ends that.
func (c *ControlClient) SetFailing(ctx context.Context, id string, failing bool) error {
	return c.do(ctx, http.MethodPut, instancePath(id)+"/failing", failingRequest{Failing: failing}, nil)
}

// SetFault sets the faults injected into a class of platform operations.
func (c *ControlClient) SetFault(ctx context.Context, class Class, f PlatformFault) error {
	return c.do(ctx, http.MethodPut, pathControlFaults+"/"+string(class), f, nil)
}

// ClearFaults clears the faults of all classes of platform operations.
func (c *ControlClient) ClearFaults(ctx context.Context) error {
	return c.do(ctx, http.MethodDelete, pathControlFaults, nil, nil)
}

// CountDelayed counts the platform calls that are currently delayed by a fault and whose
// body contains text, such as the id of the process that made them.
func (c *ControlClient) CountDelayed(ctx context.Context, text string) (int, error) {
	var out delayedCallsAnswer
	err := c.do(ctx, http.MethodGet, pathControlFaults+"?with="+url.QueryEscape(text), nil, &out)
	return out.Held, err
}

// ApplySettings changes the settings that are given.
func (c *ControlClient) ApplySettings(ctx context.Context, s Settings) error {
	return c.do(ctx, http.MethodPut, pathControlSettings, s, nil)
}

// Trim drops the log records before an offset.
func (c *ControlClient) Trim(ctx context.Context, before uint64) error {
	return c.do(ctx, http.MethodPost, pathControlTrim, trimRequest{Before: before}, nil)
}

// SetJob sets how a job's tasks deviate from what they declare.
func (c *ControlClient) SetJob(ctx context.Context, job string, truth JobFactors) error {
	return c.do(ctx, http.MethodPut, pathControlJobs+"/"+url.PathEscape(job), truth, nil)
}

// Tasks returns the current state of all tasks, without lag.
func (c *ControlClient) Tasks(ctx context.Context) ([]platform.TaskReport, error) {
	var out platform.ReportsAnswer
	err := c.do(ctx, http.MethodGet, pathControlTasks, nil, &out)
	return out.Tasks, err
}

// History returns all runs starting with number from; the first run is 1.
func (c *ControlClient) History(ctx context.Context, from int) (History, error) {
	var all History
	for {
		var page History
		path := pathControlHistory + "?from=" + strconv.Itoa(from+len(all.Runs))
		if err := c.do(ctx, http.MethodGet, path, nil, &page); err != nil {
			return History{}, err
		}
		all.Runs = append(all.Runs, page.Runs...)
		all.Total, all.Dropped = page.Total, page.Dropped
		if len(page.Runs) == 0 {
			return all, nil
		}
	}
}

// HistoryTotal returns the number of runs so far.
func (c *ControlClient) HistoryTotal(ctx context.Context) (int, error) {
	var page History
	err := c.do(ctx, http.MethodGet, pathControlHistory+"?from="+strconv.Itoa(maxHistoryRuns+1), nil, &page)
	return page.Total, err
}

// Availability returns the availability timeline of the pools.
func (c *ControlClient) Availability(ctx context.Context) (Availability, error) {
	var out Availability
	err := c.do(ctx, http.MethodGet, pathControlAvailability, nil, &out)
	return out, err
}

// ResetAvailability restarts the timeline, for example once a fleet is formed.
func (c *ControlClient) ResetAvailability(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, pathControlReset, nil, nil)
}

// Violations returns the counts of events that must not happen at endpoints.
func (c *ControlClient) Violations(ctx context.Context) (Violations, error) {
	var out Violations
	err := c.do(ctx, http.MethodGet, pathControlViolations, nil, &out)
	return out, err
}

func instancePath(id string) string { return pathControlInstances + "/" + url.PathEscape(id) }

func (c *ControlClient) do(ctx context.Context, method, path string, body, result any) error {
	var data []byte
	if body != nil {
		data = mustJSON(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return &ControlError{Path: path, Cause: err}
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return &ControlError{Path: path, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 {
		return &ControlError{Path: path, Status: resp.StatusCode, Detail: strings.TrimSpace(string(answer)), Cause: err}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return &ControlError{Path: path, Status: resp.StatusCode, Detail: "malformed", Cause: err}
	}
	return nil
}
