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

// controlTimeout bounds a control call; a history page is its largest answer.
const controlTimeout = 30 * time.Second

// ControlClient steers a stand-in and asks it what happened.
type ControlClient struct {
	base string
	hc   *http.Client
}

// NewControlClient returns a client of the control API at baseURL.
func NewControlClient(baseURL string) *ControlClient {
	return &ControlClient{base: strings.TrimRight(baseURL, "/"),
		hc: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (c *ControlClient) Close() { c.hc.CloseIdleConnections() }

// Instances returns all instances as they are, without lag.
func (c *ControlClient) Instances(ctx context.Context) ([]InstanceTruth, error) {
	var out []InstanceTruth
	err := c.do(ctx, http.MethodGet, pathControlInstances, nil, &out)
	return out, err
}

// Change steers an instance.
func (c *ControlClient) Change(ctx context.Context, id string, change InstanceChange) error {
	return c.do(ctx, http.MethodPut, instancePath(id), change, nil)
}

// SetState is Change for the state alone.
func (c *ControlClient) SetState(ctx context.Context, id string, state platform.InstanceState) error {
	return c.Change(ctx, id, InstanceChange{State: state})
}

// SetPool is Change for the pool alone.
func (c *ControlClient) SetPool(ctx context.Context, id, pool string) error {
	return c.Change(ctx, id, InstanceChange{Pool: &pool})
}

// PutEntry adds or changes the row of an entry.
func (c *ControlClient) PutEntry(ctx context.Context, id, zone, addr string) error {
	return c.Change(ctx, id, InstanceChange{Entry: &EntryRow{Zone: zone, Addr: addr}})
}

// Remove takes an instance off the list.
func (c *ControlClient) Remove(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, instancePath(id), nil, nil)
}

// SetEndpointFault sets what goes wrong at an instance's endpoint; the zero
// fault ends it.
func (c *ControlClient) SetEndpointFault(ctx context.Context, id string, f EndpointFault) error {
	return c.do(ctx, http.MethodPut, instancePath(id)+"/fault", f, nil)
}

// SetFailing makes a worker fail every task, or ends that.
func (c *ControlClient) SetFailing(ctx context.Context, id string, failing bool) error {
	return c.do(ctx, http.MethodPut, instancePath(id)+"/failing", failingRequest{Failing: failing}, nil)
}

// SetFault sets what goes wrong with a class of the platform's operations.
func (c *ControlClient) SetFault(ctx context.Context, class Class, f PlatformFault) error {
	return c.do(ctx, http.MethodPut, pathControlFaults+"/"+string(class), f, nil)
}

// ClearFaults ends all platform faults.
func (c *ControlClient) ClearFaults(ctx context.Context) error {
	return c.do(ctx, http.MethodDelete, pathControlFaults, nil, nil)
}

// Held counts the platform's calls that a delay holds up and whose body contains a
// text, such as the id of the process that made them.
func (c *ControlClient) Held(ctx context.Context, text string) (int, error) {
	var out heldAnswer
	err := c.do(ctx, http.MethodGet, pathControlFaults+"?with="+url.QueryEscape(text), nil, &out)
	return out.Held, err
}

// Apply changes settings.
func (c *ControlClient) Apply(ctx context.Context, s Settings) error {
	return c.do(ctx, http.MethodPut, pathControlSettings, s, nil)
}

// Trim drops the log's records before an offset.
func (c *ControlClient) Trim(ctx context.Context, before uint64) error {
	return c.do(ctx, http.MethodPost, pathControlTrim, trimRequest{Before: before}, nil)
}

// SetJob sets how a job's tasks differ from what they declare.
func (c *ControlClient) SetJob(ctx context.Context, job string, truth JobTruth) error {
	return c.do(ctx, http.MethodPut, pathControlJobs+"/"+url.PathEscape(job), truth, nil)
}

// Tasks returns all tasks without lag.
func (c *ControlClient) Tasks(ctx context.Context) ([]platform.TaskReport, error) {
	var out platform.ReportsAnswer
	err := c.do(ctx, http.MethodGet, pathControlTasks, nil, &out)
	return out.Tasks, err
}

// History returns all runs from number from on; 1 is the first.
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

// Availability returns the timeline of the pools.
func (c *ControlClient) Availability(ctx context.Context) (Availability, error) {
	var out Availability
	err := c.do(ctx, http.MethodGet, pathControlAvailability, nil, &out)
	return out, err
}

// ResetAvailability starts the timeline anew, such as once a fleet is formed.
func (c *ControlClient) ResetAvailability(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, pathControlReset, nil, nil)
}

// Violations returns what must not have happened.
func (c *ControlClient) Violations(ctx context.Context) (Violations, error) {
	var out Violations
	err := c.do(ctx, http.MethodGet, pathControlViolations, nil, &out)
	return out, err
}

func instancePath(id string) string { return pathControlInstances + "/" + url.PathEscape(id) }

func (c *ControlClient) do(ctx context.Context, method, path string, body, into any) error {
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
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return &ControlError{Path: path, Status: resp.StatusCode, Detail: "malformed", Cause: err}
	}
	return nil
}
