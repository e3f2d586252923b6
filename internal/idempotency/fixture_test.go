package idempotency

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The fleet of the current spec: four entries in three zones, the claim of one
// request, the owner and the witness of its key and the two other entries.
// lastWaiter is the last waiter ID in use.
var (
	fleet                         *sim
	testClaim                     ClaimRecord
	owner, witness, third, fourth *simNode
	lastWaiter                    Waiter
	answer                        = &Answer{Status: 201, Body: []byte("receipt")}
)

func newFleet() {
	fleet = newSim(Member{"a", "1", "z1"}, Member{"b", "1", "z2"}, Member{"c", "1", "z2"}, Member{"d", "1", "z3"})
	fleet.run()
	testClaim = Claim{Service: "settle", Key: "tab 7", Fingerprint: [16]byte{1}, Attempt: "first"}.record()
	o, _ := ownerOf(testClaim.Key, fleet.members())
	w, _ := witnessOf(testClaim.Key, fleet.members(), o)
	owner, witness, third, fourth = fleet.node(o.ID), fleet.node(w.ID), nil, nil
	for _, n := range fleet.nodes {
		if n != owner && n != witness {
			third, fourth = n, third
		}
	}
}

// claimBy returns the claim of the test request by another attempt.
func claimBy(name string) ClaimRecord {
	r := testClaim
	r.Attempt = HashAttempt(name)
	return r
}

// sendClaim sends an attempt's claim to n and returns its waiter.
func sendClaim(n, from *simNode, name string) Waiter {
	lastWaiter++
	n.claim(lastWaiter, from, claimBy(name))
	return lastWaiter
}

func expectDecision(n *simNode, w Waiter) Decision {
	GinkgoHelper()
	r := n.reply(w)
	Expect(r).NotTo(BeNil(), "undecided")
	Expect(r.Err).NotTo(HaveOccurred())
	return r.Decision
}

// otherKeyOfOwner returns another key of the same owner.
func otherKeyOfOwner() KeyHash {
	for i := byte(1); ; i++ {
		if o, _ := ownerOf(KeyHash{i}, fleet.members()); o == owner.self {
			return KeyHash{i}
		}
	}
}
