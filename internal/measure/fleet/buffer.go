package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// bufferDraws is the number of random sets of pool sizes for each table row.
const bufferDraws = 20

type budgetPolicy struct {
	name   string
	budget func(int) int
}

var budgetPolicies = []budgetPolicy{
	{"all instances", wholePool}, {"all but one", allButOne}, {"four fifths", fourFifths},
}

var failureDomains = []manifest.FailureDomain{manifest.DomainInstance, manifest.DomainRack, manifest.DomainZone}

// measureBuffer compares spares that all pools share with separate spares for each pool.
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
	for _, d := range deployments {
		for _, b := range budgetPolicies {
			for _, domain := range failureDomains {
				writeBufferRow(r, d, b, domain)
			}
		}
	}
	r.line("")
	measureZoneLoss(r)
}

func writeBufferRow(r report, d deployment, b budgetPolicy, domain manifest.FailureDomain) {
	rng := rand.New(rand.NewPCG(seed, 1))
	shared, perPool, restored := 0, 0, 0
	for range bufferDraws {
		m := newManifest(drawPoolSizes(rng, d.workers, 5), b.budget)
		m.Buffer.Survive = domain
		w := newWorld(d, m)
		w.runUntilIdle()
		need := pools.SharedSpares{}.Spare(w.poolsInput())
		shared += need.Needed
		perPool += pools.PerPoolSpares{}.Spare(w.poolsInput()).Needed
		w.takeDown(inDomain(domain, need.Worst))
		w.runUntilIdle()
		if w.missingInstances() == 0 {
			restored++
		}
	}
	r.line("| %s | %s | %s | %.1f | %.1f | %.2f | %d of %d |", d.name, b.name, domain,
		meanOfDraws(shared), meanOfDraws(perPool), float64(shared)/float64(perPool), restored, bufferDraws)
}

func meanOfDraws(sum int) float64 { return float64(sum) / bufferDraws }

// inDomain returns a matcher for the instances of a failure domain, named as in SpareNeed.
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

// measureZoneLoss reports how many workers are needed to recover from the loss of a rack and
// then of a zone. It tries fleets of increasing size.
func measureZoneLoss(r report) {
	r.line("Workers with which five pools of 8, 9, 9, 10 and 11 (47) are at their budgets again after the")
	r.line("loss of the worst rack, and then of the worst zone on top of it (tried in steps of a rack):")
	r.line("")
	r.line("| deployment | budget | sum of budgets | worst rack | worst rack, then worst zone |")
	r.line("|---|---|---|---|---|")
	counts := []int{8, 9, 9, 10, 11}
	for _, d := range deployments {
		for _, b := range budgetPolicies {
			sum := 0
			for _, n := range counts {
				sum += b.budget(n)
			}
			r.line("| %s | %s | %d | %s | %s |", d.name, b.name, sum,
				minWorkers(d, counts, b, manifest.DomainRack),
				minWorkers(d, counts, b, manifest.DomainRack, manifest.DomainZone))
		}
	}
	r.line("")
}

// minWorkers returns the smallest fleet size that meets its budgets again after the losses.
func minWorkers(d deployment, counts []int, b budgetPolicy, losses ...manifest.FailureDomain) string {
	var result strings.Builder
	for d.workers = 48; d.workers <= 120; d.workers += instancesPerRack {
		if survivesLosses(d, counts, b, losses) {
			return fmt.Sprintf("%d", d.workers)
		}
	}
	result.WriteString("more than 120")
	return result.String()
}

func survivesLosses(d deployment, counts []int, b budgetPolicy, losses []manifest.FailureDomain) bool {
	w := newWorld(d, newManifest(counts, b.budget))
	w.runUntilIdle()
	for _, domain := range losses {
		w.m.Buffer.Survive = domain
		need := pools.Spare(w.poolsInput())
		w.takeDown(inDomain(domain, need.Worst))
		w.runUntilIdle()
		if w.missingInstances() > 0 {
			return false
		}
	}
	return true
}
