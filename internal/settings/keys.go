package settings

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cyclamenwheel/internal/intake"
)

// Sections of the settings files.
const (
	sectionProcess  = "process"
	sectionPlatform = "platform"
	sectionPeer     = "peer"
	sectionCallers  = "callers"
	sectionClients  = "clients"
	sectionOperator = "operator"
	sectionTiming   = "timing"
	sectionLimits   = "limits"
)

// Bounds of sizes, in bytes.
const (
	minMemory         = 64 << 20
	maxMemory         = 64 << 30
	maxBodyUpperBound = 64 << 20
)

// minHeartbeatsPerLease is the minimum number of heartbeat intervals in a lease,
// so that a lease survives two lost renewals. With fewer, a healthy holder loses
// its lease after a single lost response.
const minHeartbeatsPerLease = 3

// EntryTable declares the settings of cyclamen-entry.
func EntryTable() Table {
	return Table{
		Daemon: "cyclamen-entry",
		Keys: slices.Concat(processKeys(), callerKeys(), operatorKeys(),
			timingKeys(), drainKeys(), limitKeys(), queueKeys(), clientKeys()),
		Checks: []Check{checkLease, checkShutdown, checkMaxBody},
	}
}

// ControlTable declares the settings of cyclamen-control.
func ControlTable() Table {
	return Table{
		Daemon: "cyclamen-control",
		Keys: slices.Concat(processKeys(), operatorKeys(),
			timingKeys(), fenceKeys(), drainKeys(), limitKeys(), clientKeys()),
		Checks: []Check{checkLease, checkShutdown},
	}
}

func processKeys() []Key {
	return []Key{
		{Section: sectionProcess, Name: "id", Kind: KindName, Required: true,
			Doc: "ID of this process, unique in the deployment; its certificate must carry the same ID."},
		{Section: sectionProcess, Name: "zone", Kind: KindName, Required: true,
			Doc: "Availability zone that the process runs in."},
		{Section: sectionProcess, Name: "instance", Kind: KindName, Required: true,
			Doc: "ID of the platform instance that the process runs on."},
		{Section: sectionProcess, Name: "deployment", Kind: KindName, Required: true,
			Doc: "Name of the deployment; peers, manifests and certificates of other deployments are rejected."},
		{Section: sectionPlatform, Name: "url", Kind: KindURL, Required: true,
			Doc: "Base URL of the platform's log service, instance list and pools."},
		{Section: sectionPeer, Name: "listen", Kind: KindHostPort, Required: true,
			Doc: "UDP address for QUIC links between processes; port 0 selects a free port."},
		{Section: sectionPeer, Name: "advertise", Kind: KindHostPort, Optional: true,
			Doc: "Address advertised to peers, if it differs from listen."},
		{Section: sectionPeer, Name: "peers", Kind: KindSeeds, Default: "",
			Doc: "Peers to contact first, separated by commas. Other peers are read from the log."},
		{Section: sectionPeer, Name: "ca", Kind: KindPath, Required: true,
			Doc: "PEM file of the deployment's CA certificate. Relative paths are resolved from the directory of this settings file."},
		{Section: sectionPeer, Name: "cert", Kind: KindPath, Required: true,
			Doc: "PEM file of this process's certificate; re-read when it changes."},
		{Section: sectionPeer, Name: "key", Kind: KindPath, Required: true,
			Doc: "PEM file of this process's private key, mode 0600; re-read when it changes."},
	}
}

func callerKeys() []Key {
	return []Key{
		{Section: sectionCallers, Name: "listen", Kind: KindHostPort, Required: true,
			Doc: "TCP address for callers' HTTP requests; port 0 selects a free port."},
		{Section: sectionCallers, Name: "max_body", Kind: KindBytes, Default: "1MiB", Unit: "B, KiB, MiB",
			Min: 1, Max: maxBodyUpperBound,
			Doc: "Maximum size of a request body; a request with a larger one is rejected before it is dispatched."},
	}
}

// clientKeys are the limits of clients of any HTTP server of a process. They follow the other keys of
// [limits].
func clientKeys() []Key {
	return []Key{
		{Section: sectionLimits, Name: "descriptors", Kind: KindInt, Default: "0", Unit: "descriptors", Max: 1 << 20,
			Doc: "Files and sockets that the process may have open; 0 for the limit that it is started with."},
		{Section: sectionClients, Name: "connections", Kind: KindInt, Default: "0", Unit: "connections", Max: math.MaxUint16,
			Doc: "Maximum number of open connections of clients; 0 for as many as their memory holds, and at most half of the descriptors."},
		{Section: sectionClients, Name: "memory", Kind: KindBytes, Default: "0B", Unit: "KiB, MiB, GiB", Max: maxMemory,
			Doc: "Memory that clients may hold together, in connections, buffers, headers and bodies; 0B for a quarter of memory in [limits]."},
		{Section: sectionClients, Name: "body_timeout", Kind: KindDuration, Default: "10s", Unit: "ms, s",
			Min: int64(100 * time.Millisecond), Max: int64(10 * time.Minute),
			Doc: "Maximum time for a request's body to arrive; the caller's own deadline applies where it is shorter."},
		{Section: sectionClients, Name: "answer_timeout", Kind: KindDuration, Default: "10s", Unit: "ms, s",
			Min: int64(100 * time.Millisecond), Max: int64(10 * time.Minute),
			Doc: "Maximum time for which an answer waits for its client to read on."},
	}
}

func operatorKeys() []Key {
	return []Key{
		{Section: sectionOperator, Name: "listen", Kind: KindHostPort, Default: "127.0.0.1:0",
			Doc: "TCP address for operators (metrics, health, dump). Mutual TLS with the peer certificate is required unless the address is loopback."},
	}
}

func timingKeys() []Key {
	return []Key{
		{Section: sectionTiming, Name: "heartbeat", Kind: KindDuration, Default: "500ms", Unit: "ms, s",
			Min: int64(10 * time.Millisecond), Max: int64(10 * time.Second),
			Doc: "Interval of heartbeats between peers while their state does not change."},
		{Section: sectionTiming, Name: "lease_ttl", Kind: KindDuration, Default: "3s", Unit: "ms, s",
			Min: int64(100 * time.Millisecond), Max: int64(time.Minute),
			Doc: "Time without a renewal after which the planner's lease expires and may be claimed."},
		{Section: sectionTiming, Name: "list_poll", Kind: KindDuration, Default: "250ms", Unit: "ms, s",
			Min: int64(10 * time.Millisecond), Max: int64(30 * time.Second),
			Doc: "Interval at which the platform's instance list is polled."},
		{Section: sectionTiming, Name: "snapshot_every", Kind: KindDuration, Default: "2m", Unit: "s, m",
			Min: int64(100 * time.Millisecond), Max: int64(24 * time.Hour),
			Doc: "Maximum time between two snapshots in the log; keep it below half of the log's retention."},
	}
}

func fenceKeys() []Key {
	return []Key{
		{Section: sectionTiming, Name: "fence_after", Kind: KindDuration, Default: "20s", Unit: "s, m",
			Min: int64(time.Second), Max: int64(time.Hour),
			Doc: "Time after which the platform is asked to stop the instance of an unresponsive entry that blocks a handover; set it longer than a restart takes."},
	}
}

func drainKeys() []Key {
	return []Key{
		{Section: sectionTiming, Name: "ready_grace", Kind: KindDuration, Default: "3s", Unit: "ms, s",
			Min: 0, Max: int64(time.Minute),
			Doc: "On a planned stop, time between reporting not ready and closing the listener, so that the load balancer stops sending requests."},
		{Section: sectionTiming, Name: "drain_limit", Kind: KindDuration, Default: "60s", Unit: "s, m",
			Min: int64(100 * time.Millisecond), Max: int64(15 * time.Minute),
			Doc: "Maximum wait for requests in flight on a planned stop; keep it above the longest deadline in the manifest."},
		{Section: sectionTiming, Name: "shutdown_limit", Kind: KindDuration, Default: "75s", Unit: "s, m",
			Min: int64(100 * time.Millisecond), Max: int64(20 * time.Minute),
			Doc: "Time after which a planned stop ends the process even with requests in flight; at least the sum of ready_grace and drain_limit."},
	}
}

func limitKeys() []Key {
	return []Key{
		{Section: sectionLimits, Name: "memory", Kind: KindBytes, Default: "512MiB", Unit: "MiB, GiB",
			Min: minMemory, Max: maxMemory,
			Doc: "Memory of the process; garbage collection runs more often near seven tenths of it."},
		{Section: sectionLimits, Name: "appends_per_second", Kind: KindInt, Default: "250", Unit: "1/s",
			Min: 1, Max: 1000,
			Doc: "Maximum rate of log appends for idempotency keys, over all entries together; set the same value in each entry."},
	}
}

func queueKeys() []Key {
	return []Key{
		{Section: sectionLimits, Name: "queue_per_service", Kind: KindInt, Default: "256", Unit: "requests",
			Min: 1, Max: math.MaxUint16,
			Doc: "Maximum number of requests queued per service; further ones are rejected as not run."},
	}
}

func checkLease(v Values) []Fault {
	heartbeat, ttl := v.Duration(sectionTiming, "heartbeat"), v.Duration(sectionTiming, "lease_ttl")
	if ttl >= minHeartbeatsPerLease*heartbeat {
		return nil
	}
	return []Fault{{Section: sectionTiming, Key: "lease_ttl", Reason: ReasonInconsistent,
		Detail: fmt.Sprintf("%s is less than %d heartbeats of %s", ttl, minHeartbeatsPerLease, heartbeat)}}
}

func checkShutdown(v Values) []Fault {
	limit := v.Duration(sectionTiming, "shutdown_limit")
	need := v.Duration(sectionTiming, "ready_grace") + v.Duration(sectionTiming, "drain_limit")
	if limit >= need {
		return nil
	}
	return []Fault{{Section: sectionTiming, Key: "shutdown_limit", Reason: ReasonInconsistent,
		Detail: fmt.Sprintf("%s is less than the sum of ready_grace and drain_limit, %s", limit, need)}}
}

func checkMaxBody(v Values) []Fault {
	size, most := v.Bytes(sectionCallers, "max_body"), clientSettings(v).MaxBody()
	if size <= most {
		return nil
	}
	return []Fault{{Section: sectionCallers, Key: "max_body", Reason: ReasonInconsistent,
		Detail: fmt.Sprintf("%d bytes do not fit the memory of clients, which takes bodies of %d bytes at most", size, most)}}
}

func clientSettings(v Values) intake.Settings {
	return intake.Settings{
		Memory: v.Bytes(sectionClients, "memory"), ProcessMemory: v.Bytes(sectionLimits, "memory"),
		Connections: v.Int(sectionClients, "connections"), Descriptors: v.Int(sectionLimits, "descriptors"),
		BodyTimeout: v.Duration(sectionClients, "body_timeout"), AnswerTimeout: v.Duration(sectionClients, "answer_timeout"),
	}
}
