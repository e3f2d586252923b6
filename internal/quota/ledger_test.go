package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/accounts"
)

// Guards against an account's tasks waiting forever in one pool because the share of another
// pool is never reclaimed. That pool used its share at its last report; it has none of the
// account's tasks any more and so omits the account from its reports.
func TestShareIsReclaimedFromAnIdlePool(t *testing.T) {
	g := NewWithT(t)
	d := accounts.NewDirectory()
	g.Expect(d.Add(accounts.Account{Name: "alpha", Limit: accounts.Limit{CPUMilli: 3000}})).To(Succeed())
	now, pools := time.Second, []string{"rooms", "tabs"}
	l, owners := NewLedger(), map[string]*Allowance{}
	for _, pool := range pools {
		owners[pool] = NewAllowance()
		owners[pool].SetDirectory(d)
	}
	round := func(wants map[string]map[string]Waiting) {
		now += 100 * time.Millisecond
		l.Decide(now, d, pools)
		l.MarkSaved(now)
		for _, pool := range pools {
			ask := l.Ask(pool)
			owners[pool].Grant(ask.Grants)
			l.Observe(now+time.Millisecond, now+time.Millisecond, pool, owners[pool].Reports(ask.Grants, wants[pool]))
		}
	}
	task := Amount{CPUMilli: 1000}
	waiting := func(tasks int) map[string]Waiting {
		var w Waiting
		w.Add(task, tasks)
		return map[string]Waiting{"alpha": w}
	}
	for range 10 {
		round(map[string]map[string]Waiting{"rooms": waiting(4)})
		if owners["rooms"].Fits("alpha", task, 1) {
			owners["rooms"].AddUsage("alpha", task)
		}
	}
	g.Expect(owners["rooms"].Fits("alpha", task, 1)).To(BeFalse(), "the pool already uses the whole limit")
	for range 10 {
		round(map[string]map[string]Waiting{"tabs": waiting(3)}) // the tasks in rooms keep running
	}
	owners["rooms"].RemoveUsage("alpha", task.Times(3))
	for range 20 {
		round(map[string]map[string]Waiting{"tabs": waiting(3)})
	}
	g.Expect(owners["tabs"].Fits("alpha", task.Times(2), 2)).To(BeTrue())
}
