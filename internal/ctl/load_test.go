package ctl_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/quota"
	"cyclamenwheel/internal/shards"
)

// serveDump serves a node's dump and returns the node's operator address.
func serveDump(sections map[string]any) string {
	GinkgoHelper()
	data, err := json.Marshal(sections)
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

// poolWith returns the dump of a pool whose owner claimed it under an epoch, with 30 submissions of
// account "a" in the 5 s before.
func poolWith(epoch, ageMs int64) executor.PoolDump {
	recent := executor.AdmissionCounts{Offered: 30, AdmittedOnTime: 15, AdmittedLate: 5, Refused: map[string]int{executor.RefusedBacklog: 10}, RefusedAtNodes: 25}
	return executor.PoolDump{Epoch: epoch, Summary: executor.Summary{Pool: "tabs", RunningCPUMilli: 3500, CapacityMilli: 4000},
		Accounts: []executor.AccountDump{{State: quota.State{Account: "b", SharePercent: 50}, SharesReportedAgoMs: 31}},
		Admission: &executor.AdmissionDump{Enabled: true, Epoch: epoch, AgeMs: ageMs, WindowMs: 5000,
			Priorities: []executor.PriorityAdmission{{Priority: 1, Recent: recent, WaitMs: 420, WaitAgeMs: 7000, WaitingCoreMs: 9000}},
			Accounts: []executor.AccountAdmission{{Account: "a", Weight: 12, SharePercent: 8.1, DemandPercent: 40.2, Refused: recent.Refused, Recent: recent, AgeMs: ageMs},
				{Account: "b", Weight: 1, SharePercent: 0.7}}}}
}

// rowOf returns the fields of the line that starts with a name.
func rowOf(out, name string) string {
	for line := range strings.Lines(out) {
		if strings.HasPrefix(line, name+" ") {
			return strings.Join(strings.Fields(line), " ")
		}
	}
	return ""
}

var _ = Describe("load and accounts", func() {
	var former, current, all string

	BeforeEach(func() {
		duties := shards.Status{Duties: []shards.DutyStatus{{Duty: "tabs", Owner: "n-2"}, {Duty: "rooms", Owner: "n-9"}, {Duty: "instances", Owner: "n-9"}}}
		former = serveDump(map[string]any{"duties": duties, "pools": []executor.PoolDump{poolWith(8, 9000)}})
		current = serveDump(map[string]any{"duties": duties, "pools": []executor.PoolDump{poolWith(9, 12)},
			"gate": map[string]any{"classes": []map[string]any{{"pool": "tabs", "priority": 1, "account": "a", "admit": 0.25, "age_ms": 6000}, {"pool": "tabs", "priority": 1, "account": "b", "admit": 1},
				{"pool": "tabs", "priority": 0, "account": "b", "admit": 0.1}, {"pool": "rooms", "priority": 1, "account": "a", "admit": 0.1}}}})
		all = former + "," + current + ",127.0.0.1:1"
	})

	// Guards against figures of a former owner, and against a table that hides that a part is
	// missing or old.
	It("print the newest owner's figures and mark what is missing or old", func() {
		code, out, errs := run("", "load", "--nodes", all)
		Expect(code).To(Equal(ctl.ExitOK), errs)
		Expect(rowOf(out, "tabs")).To(Equal("tabs " + current + " 9 3.5 of 4.0 1 6.0 3.0 1.0 2.0 5.0 backlog 10 420 ms (7000 ms, old) 9.0 1, admit 0.25, 6000 ms, old 12 ms"))
		Expect(rowOf(out, "rooms")).To(Equal("rooms missing"))
		Expect(out).To(And(ContainSubstring("missing: node 127.0.0.1:1: "), ContainSubstring("missing: pool rooms: no node that answered owns it; its owner may be n-9"), Not(ContainSubstring("instances"))))
		_, out, _ = run("", "load", "--nodes", former)
		Expect(rowOf(out, "tabs")).To(HaveSuffix("open 9000 ms, old"))
	})

	It("list accounts with their shares, demand and refusals", func() {
		code, out, errs := run("", "accounts", "--nodes", all)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(errs).To(ContainSubstring("missing: node 127.0.0.1:1: "))
		Expect(rowOf(out, "a")).To(Equal("a tabs " + current + " - none - - 10 - 12 8.1% 40.2% 6.0 4.0 2.0 5.0 backlog 10 0.0 1, admit 0.25, 6000 ms, old 12 ms"))
		Expect(rowOf(out, "b")).To(HavePrefix("b tabs " + current + " 0.0 none 50.0% 0 0 31 ms ago 1 0.7% 0.0% 0.0 0.0 0.0 0.0 - 0.0 1, admit 0.10"))
	})

	// Guards against a change of the output that present scripts read.
	It("leave the output of accounts as it was without overload control", func() {
		pool := poolWith(3, 12)
		pool.Admission = &executor.AdmissionDump{Epoch: 3}
		node := serveDump(map[string]any{"pools": []executor.PoolDump{pool}})
		_, out, errs := run("", "accounts", "--nodes", node)
		Expect(errs).To(BeEmpty())
		Expect(strings.Fields(out)).To(Equal(strings.Fields("ACCOUNT POOL OWNER CORES LIMIT SHARE WAITING REFUSED TOLD b tabs " + node + " 0.0 none 50.0% 0 0 31 ms ago")))
		_, out, _ = run("", "load", "--nodes", node)
		Expect(out).To(ContainSubstring("overload control is off"))
		pool.Accounts[0].SharesReportedAgoMs = 5001
		_, _, errs = run("", "accounts", "--nodes", serveDump(map[string]any{"pools": []executor.PoolDump{pool}}))
		Expect(errs).To(ContainSubstring("old: pool tabs received its shares of limits 5001 ms ago"))
	})

	It("print JSON with the nodes that are missing", func() {
		_, out, _ := run("", "load", "--json", "--nodes", all)
		var report map[string]any
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		Expect(report["missing"]).To(HaveKey("127.0.0.1:1"))
		Expect(report["gates"]).To(HaveLen(3))
		_, out, _ = run("", "accounts", "--json", "--nodes", all)
		Expect(strings.Count(out, `"pool": "tabs"`)).To(Equal(2+2), "one row and one gate for each account")
		_, out, _ = run("", "accounts", "a", "--json", "--nodes", all)
		var rows []map[string]any
		Expect(json.Unmarshal([]byte(out), &rows)).To(Succeed())
		Expect(rows).To(ConsistOf(And(HaveKeyWithValue("pool", "tabs"), HaveKeyWithValue("admission", HaveKeyWithValue("demand_percent", 40.2)))))
	})
})

var _ = Describe("explain with logs", func() {
	const line = `{"time":"2026-03-01T10:00:01Z","msg":"job refused","node":"n-3","pool":"tabs","epoch":7,"job":"00000000000000a1","reason":"backlog","age_ms":12,"wait_ms":4200,"slack_ms":900}`

	It("explains a refused job from files or standard input", func() {
		file := filepath.Join(GinkgoT().TempDir(), "node.log")
		Expect(os.WriteFile(file, []byte(line), 0o600)).To(Succeed())
		for _, logs := range []string{file, "-"} {
			code, out, errs := run(line, "explain", "job", "00000000000000a1", "--logs", logs)
			Expect(code).To(Equal(ctl.ExitOK), errs)
			Expect(out).To(ContainSubstring("predicted wait 4200 ms"))
		}
		code, _, _ := run("", "explain", "pool", "tabs", "--logs", file)
		Expect(code).To(Equal(ctl.ExitUsage))
	})
})
