package idempotency

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The fleet of the present spec: four entries in three zones, one request, and
// the entries' parts for its key.
var (
	fleet                         *sim
	tabClaim                      ClaimRecord
	owner, witness, third, fourth *simNode
	waiters                       Waiter
	answer                        = &Answer{Status: 201, Body: []byte("receipt")}
)

func newFleet() {
	fleet = newSim(Member{"a", "1", "z1"}, Member{"b", "1", "z2"}, Member{"c", "1", "z2"}, Member{"d", "1", "z3"})
	fleet.run()
	tabClaim = Claim{Service: "settle", Key: "tab 7", Fingerprint: [16]byte{1}, Attempt: "first"}.record()
	o, _ := ownerOf(tabClaim.Key, fleet.members())
	w, _ := witnessOf(tabClaim.Key, fleet.members(), o)
	owner, witness, third, fourth = fleet.node(o.ID), fleet.node(w.ID), nil, nil
	for _, n := range fleet.nodes {
		if n != owner && n != witness {
			third, fourth = n, third
		}
	}
}

// attempt is the request's claim by another attempt.
func attempt(name string) ClaimRecord {
	r := tabClaim
	r.Attempt = HashAttempt(name)
	return r
}

// ask brings an attempt's claim to n and returns its waiter.
func ask(n, from *simNode, name string) Waiter {
	waiters++
	n.claim(waiters, from, attempt(name))
	return waiters
}

func decided(n *simNode, w Waiter) Decision {
	GinkgoHelper()
	r := n.reply(w)
	Expect(r).NotTo(BeNil(), "undecided")
	Expect(r.Err).NotTo(HaveOccurred())
	return r.Decision
}

// sibling returns another key of the same owner.
func sibling() KeyHash {
	for i := byte(1); ; i++ {
		if o, _ := ownerOf(KeyHash{i}, fleet.members()); o == owner.self {
			return KeyHash{i}
		}
	}
}
