package published

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/routing"
)

// versionOf returns a configuration of queues given as name, prefix and service.
func versionOf(version int64, queues ...[3]string) *routing.Config {
	c := &routing.Config{Version: version}
	for _, q := range queues {
		c.Queues = append(c.Queues, routing.Queue{Name: q[0], Host: "a.example", Prefix: q[1], Service: q[2]})
	}
	return c
}

// earlierPools returns the queues and services of the earlier routes of a queue in force.
func earlierPools(k *Keeper, name string) []target {
	var out []target
	for i := range k.Config().Queues {
		if q := &k.Config().Queues[i]; q.Name == name {
			for _, e := range k.Earlier(q) {
				out = append(out, target{e.Queue, e.Service})
			}
		}
	}
	return out
}

// Guards against jobs that are unknown, or run twice, after a version has led their queue's callers to
// another pool: under another name, after a time without the route, or by another prefix.
func TestEarlierPoolsOfAQueueAreKnown(t *testing.T) {
	g := NewWithT(t)
	k := New(Options{Changed: func(*routing.Config) {}})
	k.Put(versionOf(1, [3]string{"q1", "/a/", "p1"}, [3]string{"q2", "/b/", "p1"}, [3]string{"all", "/", "p0"}))
	g.Expect(earlierPools(k, "q1")).To(BeEmpty())
	k.Put(versionOf(2, [3]string{"q1-new", "/a/", "p2"}, [3]string{"q2", "/b/", "p1"}, [3]string{"all", "/", "p0"}))
	g.Expect(earlierPools(k, "q1-new")).To(ContainElement(target{"q1", "p1"}))
	g.Expect(earlierPools(k, "q2")).To(BeEmpty(), "the other queue of that pool stays")
	k.Put(versionOf(3, [3]string{"q2", "/b/", "p1"}))
	k.Put(versionOf(4, [3]string{"q2", "/b/", "p1"}, [3]string{"q1", "/a/", "p1"}, [3]string{"q3", "/c/", "p3"}))
	g.Expect(earlierPools(k, "q1")).To(ContainElement(target{"q1-new", "p2"}), "a route that was away")
	g.Expect(earlierPools(k, "q3")).To(ContainElement(target{"all", "p0"}), "a shorter prefix")
	g.Expect(k.Earlier(&k.Config().Queues[1])[0].Age()).To(BeNumerically("<", time.Minute))
}

// Guards against calls to other pools for each request where nothing has been led elsewhere.
func TestAQueueThatKeepsItsPoolHasNoEarlierOnes(t *testing.T) {
	g := NewWithT(t)
	k := New(Options{Changed: func(*routing.Config) {}})
	for version := range int64(20) {
		k.Put(versionOf(version+1, [3]string{"q1", "/a/", "p1"}, [3]string{"q2", "/b/", "p2"}))
	}
	g.Expect(earlierPools(k, "q1")).To(BeEmpty())
	g.Expect(k.earlier.tables).To(HaveLen(1), "the same routes are remembered once")
	g.Expect(k.pastTables()).To(BeEmpty())
}

// Guards against a node that has started after the version and does not know what the store or its peers do.
func TestANodeThatStartsLearnsOfEarlierPools(t *testing.T) {
	g := NewWithT(t)
	first, second := versionOf(1, [3]string{"q1", "/a/", "p1"}), versionOf(2, [3]string{"q1", "/a/", "p2"})
	byHistory := New(Options{Changed: func(*routing.Config) {}})
	byHistory.Put(second)
	byHistory.PutEarlier(first)
	byHistory.PutEarlier(versionOf(3, [3]string{"q1", "/a/", "p3"}))
	g.Expect(earlierPools(byHistory, "q1")).To(ConsistOf(target{"q1", "p1"}), "versions that are not older are none")

	asked := 0
	byPeer := New(Options{Changed: func(*routing.Config) {}, Peers: func() []string { return []string{"b"} },
		AskEarlier: func(context.Context, string) ([]PastTable, error) {
			asked++
			data, err := cbor.Marshal(byHistory.pastTables())
			g.Expect(err).NotTo(HaveOccurred())
			var out []PastTable
			return out, cbor.Unmarshal(data, &out)
		}})
	byPeer.Put(second)
	g.Expect(byPeer.askEarlier(context.Background())).To(BeTrue())
	g.Expect(asked).To(Equal(1))
	g.Expect(earlierPools(byPeer, "q1")).To(ConsistOf(target{"q1", "p1"}))
}
