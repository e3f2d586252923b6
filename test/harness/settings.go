package harness

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// settingsValues returns the settings of one process by section and key.
// Leases and heartbeats are short, so that a takeover takes about a second.
func (p *Process) settingsValues() map[string]map[string]string {
	dir := p.cluster.dir
	peerListen := p.addr(portPeer)
	if p.peerProxy != nil {
		peerListen = p.addr(portPeerBehindProxy)
	}
	cert := filepath.Join(dir, fmt.Sprintf("%s-%s", p.Role, p.ID))
	values := map[string]map[string]string{
		"process":  {"id": p.ID, "zone": p.Zone, "instance": p.Instance, "deployment": Deployment},
		"platform": {"url": "http://" + p.addr(portPlatform)},
		"peer": {
			"listen": peerListen, "advertise": p.addr(portPeer), "peers": p.cluster.peerSeeds(),
			"ca": filepath.Join(dir, "ca.pem"), "cert": cert + ".pem", "key": cert + "-key.pem",
		},
		"operator": {"listen": p.addr(portOperator)},
		"timing": {
			"heartbeat": "100ms", "lease_ttl": "1s", "list_poll": "20ms",
			"ready_grace": "100ms", "drain_limit": "20s", "shutdown_limit": "30s",
		},
	}
	if p.Role == RoleEntry {
		values["callers"] = map[string]string{"listen": p.addr(portCallers)}
	}
	if after := p.cluster.opts.FenceAfter; p.Role == RoleControl && after > 0 {
		values["timing"]["fence_after"] = after.String()
	}
	for section, keys := range p.cluster.opts.Settings {
		if values[section] == nil {
			values[section] = map[string]string{}
		}
		maps.Copy(values[section], keys)
	}
	return values
}

func (c *Cluster) peerSeeds() string {
	var all []string
	for _, p := range c.All() {
		all = append(all, p.ID+"@"+p.addr(portPeer))
	}
	return strings.Join(all, ", ")
}

func (p *Process) writeSettings() {
	ginkgo.GinkgoHelper()
	var b strings.Builder
	values := p.settingsValues()
	for _, section := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&b, "[%s]\n", section)
		for _, key := range slices.Sorted(maps.Keys(values[section])) {
			fmt.Fprintf(&b, "%s = %s\n", key, values[section][key])
		}
	}
	gomega.Expect(os.WriteFile(p.settingsFile, []byte(b.String()), 0o600)).To(gomega.Succeed())
}

func (p *Process) addr(port int) string { return fmt.Sprintf("%s:%d", p.IP, port) }

// CallerURL returns the URL at which an entry accepts requests of callers.
func (p *Process) CallerURL() string { return "http://" + p.addr(portCallers) }

// OperatorAddr returns the address of the operator port.
func (p *Process) OperatorAddr() string { return p.addr(portOperator) }
