package settings

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Sections that both daemons have.
const (
	sectionProcess  = "process"
	sectionPlatform = "platform"
	sectionPeer     = "peer"
	sectionCallers  = "callers"
	sectionOperator = "operator"
	sectionTiming   = "timing"
	sectionLimits   = "limits"
)

// Bounds that several keys share, in bytes.
const (
	minMemory  = 64 << 20
	maxMemory  = 64 << 30
	maxBodyCap = 64 << 20
)

// minHeartbeatsPerLease keeps a lease alive through two lost renewals. With
// fewer, one lost answer costs the holder its lease although it is healthy.
const minHeartbeatsPerLease = 3

// EntryTable lists the settings of cyclamen-entry.
func EntryTable() Table {
	return Table{
		Daemon: "cyclamen-entry",
		Keys: slices.Concat(processKeys(), callerKeys(), operatorKeys(),
			timingKeys(), drainKeys(), limitKeys(), queueKeys()),
		Checks: []Check{checkLease, checkShutdown},
	}
}

// ControlTable lists the settings of cyclamen-control.
func ControlTable() Table {
	return Table{
		Daemon: "cyclamen-control",
		Keys: slices.Concat(processKeys(), operatorKeys(),
			timingKeys(), fenceKeys(), drainKeys(), limitKeys()),
		Checks: []Check{checkLease, checkShutdown},
	}
}

func processKeys() []Key {
	return []Key{
		{Section: sectionProcess, Name: "id", Kind: KindName, Required: true,
			Doc: "Id of this process, unique in the deployment and the id of its certificate."},
		{Section: sectionProcess, Name: "zone", Kind: KindName, Required: true,
			Doc: "Availability zone the process runs in."},
		{Section: sectionProcess, Name: "instance", Kind: KindName, Required: true,
			Doc: "Id of the platform's instance the process runs on."},
		{Section: sectionProcess, Name: "deployment", Kind: KindName, Required: true,
			Doc: "Name of the deployment; peers, manifests and certificates of others are refused."},
		{Section: sectionPlatform, Name: "url", Kind: KindURL, Required: true,
			Doc: "Base URL of the platform's log service, instance list and pools."},
		{Section: sectionPeer, Name: "listen", Kind: KindHostPort, Required: true,
			Doc: "UDP address for QUIC links between processes; port 0 takes a free one."},
		{Section: sectionPeer, Name: "advertise", Kind: KindHostPort, Optional: true,
			Doc: "Address that peers are told to dial, where it differs from listen."},
		{Section: sectionPeer, Name: "peers", Kind: KindSeeds, Default: "",
			Doc: "Peers to contact first, separated by commas. Others are learnt from the log."},
		{Section: sectionPeer, Name: "ca", Kind: KindPath, Required: true,
			Doc: "PEM file of the deployment's CA. Relative paths start at this file."},
		{Section: sectionPeer, Name: "cert", Kind: KindPath, Required: true,
			Doc: "PEM file of this process's certificate; re-read when it changes."},
		{Section: sectionPeer, Name: "key", Kind: KindPath, Required: true,
			Doc: "PEM file of this process's private key, mode 0600; re-read when it changes."},
	}
}

func callerKeys() []Key {
	return []Key{
		{Section: sectionCallers, Name: "listen", Kind: KindHostPort, Required: true,
			Doc: "TCP address for callers' HTTP requests; port 0 takes a free one."},
		{Section: sectionCallers, Name: "max_body", Kind: KindBytes, Default: "1MiB", Unit: "B, KiB, MiB",
			Min: 1, Max: maxBodyCap,
			Doc: "Largest request body; a larger one is refused before anything is dispatched."},
	}
}

func operatorKeys() []Key {
	return []Key{
		{Section: sectionOperator, Name: "listen", Kind: KindHostPort, Default: "127.0.0.1:0",
			Doc: "TCP address for operators (metrics, health, dump). Off loopback, mutual TLS with the peer certificate is demanded."},
	}
}

func timingKeys() []Key {
	return []Key{
		{Section: sectionTiming, Name: "heartbeat", Kind: KindDuration, Default: "500ms", Unit: "ms, s",
			Min: int64(10 * time.Millisecond), Max: int64(10 * time.Second),
			Doc: "Interval of heartbeats between peers while nothing changes."},
		{Section: sectionTiming, Name: "lease_ttl", Kind: KindDuration, Default: "3s", Unit: "ms, s",
			Min: int64(100 * time.Millisecond), Max: int64(time.Minute),
			Doc: "Time without a renewal after which the planner's lease may be claimed."},
		{Section: sectionTiming, Name: "list_poll", Kind: KindDuration, Default: "250ms", Unit: "ms, s",
			Min: int64(10 * time.Millisecond), Max: int64(30 * time.Second),
			Doc: "Interval at which the platform's instance list is read."},
		{Section: sectionTiming, Name: "snapshot_every", Kind: KindDuration, Default: "2m", Unit: "s, m",
			Min: int64(100 * time.Millisecond), Max: int64(24 * time.Hour),
			Doc: "Longest time between two snapshots in the log; keep it under half of the log's retention."},
	}
}

func fenceKeys() []Key {
	return []Key{
		{Section: sectionTiming, Name: "fence_after", Kind: KindDuration, Default: "20s", Unit: "s, m",
			Min: int64(time.Second), Max: int64(time.Hour),
			Doc: "Time after which the platform is asked to stop the instance of a silent entry that holds a handover up; longer than a restart takes."},
	}
}

func drainKeys() []Key {
	return []Key{
		{Section: sectionTiming, Name: "ready_grace", Kind: KindDuration, Default: "3s", Unit: "ms, s",
			Min: 0, Max: int64(time.Minute),
			Doc: "On a planned stop, time from not ready to closing the listener, for the balancer to leave."},
		{Section: sectionTiming, Name: "drain_limit", Kind: KindDuration, Default: "60s", Unit: "s, m",
			Min: int64(100 * time.Millisecond), Max: int64(15 * time.Minute),
			Doc: "Longest wait for requests in flight on a planned stop; keep it above the longest deadline in the manifest."},
		{Section: sectionTiming, Name: "shutdown_limit", Kind: KindDuration, Default: "75s", Unit: "s, m",
			Min: int64(100 * time.Millisecond), Max: int64(20 * time.Minute),
			Doc: "Time after which a planned stop ends the process whatever is left; at least ready_grace and drain_limit together."},
	}
}

func limitKeys() []Key {
	return []Key{
		{Section: sectionLimits, Name: "memory", Kind: KindBytes, Default: "512MiB", Unit: "MiB, GiB",
			Min: minMemory, Max: maxMemory,
			Doc: "Soft memory limit of the process; the collector works harder near it."},
		{Section: sectionLimits, Name: "appends_per_second", Kind: KindInt, Default: "250", Unit: "1/s",
			Min: 1, Max: 1000,
			Doc: "Most log appends a second for idempotency keys, all entries together; the same in each of them."},
	}
}

func queueKeys() []Key {
	return []Key{
		{Section: sectionLimits, Name: "queue_per_service", Kind: KindInt, Default: "256", Unit: "requests",
			Min: 1, Max: math.MaxUint16,
			Doc: "Most requests that wait for a slot of one service; further ones are refused as not run."},
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
		Detail: fmt.Sprintf("%s is less than ready_grace and drain_limit together, %s", limit, need)}}
}
