package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// bufferDraws is how many sets of pool sizes are drawn for each line.
const bufferDraws = 20

type budgetRule struct {
	name string
	of   func(int) int
}

var budgetRules = []budgetRule{
	{"all instances", all}, {"all but one", allButOne}, {"four fifths", fourFifths},
}

var domains = []manifest.FailureDomain{manifest.DomainInstance, manifest.DomainRack, manifest.DomainZone}

// measureBuffer compares the shared spare with spares for each pool.
func measureBuffer(r report) {
	r.line("## Buffer cost")
	r.line("")
	r.line("Spares needed (mean of %d draws of five pools of 8 to 12 that leave 5 of 52 workers over).", bufferDraws)
	r.line("Per pool: what each pool needs for its own worst domain, and one at the least.")
	r.line("Kept: draws in which, with the spares that there are, the worst domain is lost and repaired")
	r.line("and every pool is at its budget again.")
	r.line("")
	r.line("| deployment | budget | lost domain | shared | per pool | shared / per pool | kept |")
	r.line("|---|---|---|---|---|---|---|")
	for _, d := range both {
		for _, b := range budgetRules {
			for _, domain := range domains {
				bufferLine(r, d, b, domain)
			}
		}
	}
	r.line("")
	measureZone(r)
}

func bufferLine(r report, d deployment, b budgetRule, domain manifest.FailureDomain) {
	rng := rand.New(rand.NewPCG(seed, 1))
	shared, perPool, kept := 0, 0, 0
	for range bufferDraws {
		m := wanted(drawCounts(rng, d.workers, 5), b.of)
		m.Buffer.Survive = domain
		w := newWorld(d, m)
		w.settle()
		need := pools.SharedSpares{}.Spare(w.poolsInput())
		shared += need.Needed
		perPool += pools.PerPoolSpares{}.Spare(w.poolsInput()).Needed
		w.lose(inDomain(domain, need.Worst))
		w.settle()
		if w.short() == 0 {
			kept++
		}
	}
	r.line("| %s | %s | %s | %.1f | %.1f | %.2f | %d of %d |", d.name, b.name, domain,
		mean(shared), mean(perPool), float64(shared)/float64(perPool), kept, bufferDraws)
}

func mean(sum int) float64 { return float64(sum) / bufferDraws }

// inDomain matches the instances of a domain as SpareNeed names it.
func inDomain(kind manifest.FailureDomain, name string) func(*pools.Instance) bool {
	return func(inst *pools.Instance) bool {
		switch kind {
		case manifest.DomainZone:
			return inst.Zone == name
		case manifest.DomainRack:
			return inst.Zone+"/"+inst.Rack == name
		}
		return inst.ID == name
	}
}

// measureZone tells what the loss of a rack and then of a zone takes, by trying
// ever more workers.
func measureZone(r report) {
	r.line("Workers with which five pools of 8, 9, 9, 10 and 11 (47) are at their budgets again after the")
	r.line("loss of the worst rack, and then of the worst zone on top of it (tried in steps of a rack):")
	r.line("")
	r.line("| deployment | budget | sum of budgets | worst rack | worst rack, then worst zone |")
	r.line("|---|---|---|---|---|")
	counts := []int{8, 9, 9, 10, 11}
	for _, d := range both {
		for _, b := range budgetRules {
			sum := 0
			for _, n := range counts {
				sum += b.of(n)
			}
			r.line("| %s | %s | %d | %s | %s |", d.name, b.name, sum,
				leastWorkers(d, counts, b, manifest.DomainRack),
				leastWorkers(d, counts, b, manifest.DomainRack, manifest.DomainZone))
		}
	}
	r.line("")
}

// leastWorkers finds the smallest fleet that keeps its budgets through losses.
func leastWorkers(d deployment, counts []int, b budgetRule, losses ...manifest.FailureDomain) string {
	var tried strings.Builder
	for d.workers = 48; d.workers <= 120; d.workers += perRack {
		if survives(d, counts, b, losses) {
			return fmt.Sprintf("%d", d.workers)
		}
	}
	tried.WriteString("more than 120")
	return tried.String()
}

func survives(d deployment, counts []int, b budgetRule, losses []manifest.FailureDomain) bool {
	w := newWorld(d, wanted(counts, b.of))
	w.settle()
	for _, domain := range losses {
		w.m.Buffer.Survive = domain
		need := pools.Spare(w.poolsInput())
		w.lose(inDomain(domain, need.Worst))
		w.settle()
		if w.short() > 0 {
			return false
		}
	}
	return true
}
