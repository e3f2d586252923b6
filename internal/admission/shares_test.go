package admission

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// plainShares is the reference: it visits every account in each query.
type plainShares struct{ work, weight, limit map[string]float64 }

func newPlainShares() plainShares {
	return plainShares{map[string]float64{}, map[string]float64{}, map[string]float64{}}
}

func (p plainShares) weightOf(account string) float64 { return p.weight[account] }

func (p plainShares) limitOf(account string) float64 {
	if limit, limited := p.limit[account]; limited {
		return limit
	}
	return math.Inf(1)
}

// allowed is what an account may have done in a span.
func (p plainShares) allowed(account string, span float64) float64 {
	if limit, limited := p.limit[account]; limited && !math.IsInf(span, 1) {
		return limit * span
	}
	return math.Inf(1)
}

func (p plainShares) within(level, span float64) float64 {
	sum := 0.0
	for account, work := range p.work {
		sum += min(work, p.weight[account]*level, p.allowed(account, span))
	}
	return sum
}

// level raises the level from account to account.
func (p plainShares) level(capacity float64) float64 {
	accounts := slices.SortedFunc(maps.Keys(p.work), func(a, b string) int {
		return int(math.Copysign(1, p.work[a]/p.weight[a]-p.work[b]/p.weight[b]))
	})
	weights := 0.0
	for _, a := range accounts {
		weights += p.weight[a]
	}
	for _, a := range accounts {
		if p.work[a]/p.weight[a]*weights > capacity {
			return capacity / weights
		}
		capacity -= p.work[a]
		weights -= p.weight[a]
	}
	return math.Inf(1)
}

// account returns the name of account n. Weights are 1 to 200, and a third of the accounts have a limit.
func (p plainShares) account(n int) string {
	account := fmt.Sprint(n)
	p.weight[account] = float64(1 + n*7919%200)
	if n%3 == 0 {
		p.limit[account] = float64(n % 50)
	}
	return account
}

func approximately(t rapid.TB, what string, got, expected float64) {
	if got == expected || math.Abs(got-expected) <= 1e-6*(1+math.Abs(expected)) {
		return
	}
	t.Fatalf("%s is %v, expected %v", what, got, expected)
}

// checkQueries compares each query with the reference.
func checkQueries(t *rapid.T, failures rapid.TB, s *Shares, p plainShares, account string) {
	work := rapid.Float64Range(0, 1e4).Draw(t, "work")
	span := rapid.SampledFrom([]float64{-1, 0, 1, 30, 1000, math.Inf(1)}).Draw(t, "span")
	total := p.within(math.Inf(1), math.Inf(1))
	approximately(failures, "total", s.Total(), total)
	approximately(failures, "work", s.Of(account), p.work[account])
	approximately(failures, "total within a span", s.TotalWithin(span), p.within(math.Inf(1), max(0, span)))
	level := (p.work[account] + work) / p.weight[account]
	approximately(failures, "work ahead", s.WorkAhead(account, work, span), p.within(level, max(0, span)))
	capacity := rapid.Float64Range(0, 1.1).Draw(t, "capacity") * total
	if math.Abs(capacity-total) > 1e-6*total {
		approximately(failures, "level", s.Level(capacity), p.level(capacity))
	}
}

// checkRun lets accounts come and go and compares the queries in between.
func checkRun(t *rapid.T, failures rapid.TB, accounts, initial int) {
	p := newPlainShares()
	s := NewShares(p.weightOf, p.limitOf)
	for i := range initial {
		account := p.account(i)
		p.work[account] = float64(1 + i*31%997)
		s.Add(account, p.work[account])
	}
	drawAccount := func() string { return p.account(rapid.IntRange(0, accounts-1).Draw(t, "account")) }
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		for range rapid.SampledFrom([]int{0, 1, 5, 300}).Draw(t, "changes") {
			account := drawAccount()
			work := rapid.Float64Range(0.1, 1e4).Draw(t, "added")
			if before := p.work[account]; before > 0 && rapid.Bool().Draw(t, "goes") {
				delete(p.work, account)
				s.Add(account, -before)
				continue
			}
			p.work[account] += work
			s.Add(account, work)
		}
		checkQueries(t, failures, s, p, drawAccount())
		if rapid.IntRange(0, 20).Draw(t, "reset") == 0 {
			clear(p.work)
			s.Reset()
		}
	}
}

var _ = Describe("weighted shares", func() {
	It("agree with a reference that visits all accounts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { checkRun(t, t, rapid.SampledFrom([]int{2, 20, 600}).Draw(t, "accounts"), 0) })
	})

	It("agree with the reference for 10,000 accounts", func() {
		run := rapid.Custom(func(t *rapid.T) bool {
			checkRun(t, GinkgoT(), 10000, 10000) // Example would hide failures of t
			return true
		})
		for seed := range 5 {
			run.Example(seed)
		}
	})

	// Guards against a refusal that costs more the more accounts a pool has.
	It("visit some 20 of 10,000 accounts, and those changed since the last rebuild", func() {
		s := NewShares(func(a string) float64 { return float64(len(a)) }, func(string) float64 { return 1e6 })
		for i := range 10000 {
			s.Add(fmt.Sprint(i), float64(1+i*7919%10007))
		}
		s.TotalWithin(1) // builds the index
		queries := map[string]func(){
			"WorkAhead":   func() { s.WorkAhead("77", 10, 1000) },
			"TotalWithin": func() { s.TotalWithin(1000) },
			"Level":       func() { s.Level(s.Total() / 3) },
		}
		for name, query := range queries {
			s.visits = 0
			query()
			Expect(s.visits).To(BeNumerically("<=", 20), name)
			Expect(testing.AllocsPerRun(10, query)).To(BeZero(), name)
		}
		for i := range maxChangedAccounts {
			s.Add(fmt.Sprint(i), 1)
			s.Add(fmt.Sprint(i), 1)
		}
		s.visits = 0
		s.WorkAhead("77", 10, 1000)
		Expect(s.stale).To(BeFalse())
		Expect(s.visits).To(BeNumerically("<=", 20+maxChangedAccounts))
		s.Add("9999", 1)
		s.WorkAhead("77", 10, 1000)
		Expect(s.changed).To(BeEmpty())
	})

	// Guards against an account at 10 times its load that gets jobs of the 19 others refused: each has
	// half its share waiting, and the load of one changes by less than the share of that one.
	It("bound what one account's excess adds to the work ahead of the others", func() {
		weightOf := func(a string) float64 { return float64(1 + len(a)*40) }
		s, weights := NewShares(weightOf, nil), 0.0
		names := make([]string, 20)
		for i := range names {
			names[i] = strings.Repeat("a", i/5) + fmt.Sprint(i)
			weights += weightOf(names[i])
		}
		const capacity = 1e6
		share := func(a string) float64 { return capacity * weightOf(a) / weights }
		for _, a := range names {
			s.Add(a, share(a)/2)
		}
		large := names[7]
		s.Add(large, 9.5*share(large))
		for _, a := range names {
			if a != large {
				ahead := s.WorkAhead(a, share(a)/2, math.Inf(1))
				Expect(ahead).To(BeNumerically("<=", capacity/2+share(large)/2+1), a)
			}
		}
		Expect(s.WorkAhead(large, 0, math.Inf(1))).To(BeNumerically("~", s.Total(), 1))
	})

	// Guards against capacity that stays idle because an account does not use its share.
	It("give unused share to the others by weight", func() {
		weights := map[string]float64{"idle": 100, "a": 1, "b": 3}
		s := NewShares(func(a string) float64 { return weights[a] }, nil)
		s.Add("a", 100)
		s.Add("b", 100)
		Expect(s.Level(80)).To(BeNumerically("~", 20, 1e-9))
		s.Add("idle", 10)
		Expect(s.Level(90)).To(BeNumerically("~", 20, 1e-9))
		s.Add("idle", -10)
		Expect(s.Level(120)).To(BeNumerically("~", 30, 1e-9))
		Expect(s.Level(150)).To(BeNumerically("~", 50, 1e-9))
		Expect(math.IsInf(s.Level(200), 1)).To(BeTrue())
		Expect(s.Level(-1)).To(BeZero())
		Expect(s.accounts).To(HaveLen(2))
	})

	// Guards against a division by a weight that was configured wrongly.
	DescribeTable("count as 1", func(weight float64) {
		s := NewShares(func(a string) float64 { return map[string]float64{"a": weight, "b": 1}[a] }, nil)
		s.Add("a", 30)
		s.Add("b", 30)
		Expect(s.WorkAhead("c", 10, math.Inf(1))).To(Equal(20.0))
		Expect(s.WorkAhead("a", 10, math.Inf(1))).To(Equal(60.0))
		Expect(s.Level(30)).To(Equal(15.0))
	},
		Entry("0", 0.0), Entry("negative", -3.0), Entry("NaN", math.NaN()),
		Entry("infinite", math.Inf(1)), Entry("negative infinite", math.Inf(-1)),
	)

	It("are empty without a Shares", func() {
		var s *Shares
		Expect(s.Total() + s.Of("a") + s.TotalWithin(1) + s.WorkAhead("a", 1, 1)).To(BeZero())
		Expect(math.IsInf(s.Level(0), 1)).To(BeTrue())
	})
})
