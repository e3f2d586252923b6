package host

import (
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/platform"
)

const (
	entryInA = `{"service":"a","addr":"10.0.0.1:80","zone":"z","version":"1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":1,"labels":["k","r"],"capacity":{"cpu":1000,"memMb":1000,"gpu":0},"clockMs":5}`
	entryInB = `{"service":"b","addr":"10.0.0.1:80","zone":"z","version":"1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":1,"labels":["k","r"],"capacity":{"cpu":1000,"memMb":1000,"gpu":0},"clockMs":5}`
)

// Guards against each change of one endpoint making every owner walk the endpoints of all pools.
func TestOnlyPoolsWithChangedEndpointsAreReported(t *testing.T) {
	g := NewWithT(t)
	table := newEndpointTable()
	unusable := func(_ string, err error) { g.Expect(err).NotTo(HaveOccurred()) }
	record := func(key, value string) platform.Record { return platform.Record{Key: key, Value: []byte(value)} }

	changed := table.apply(true, []platform.Record{record("i-1", entryInA), record("i-2", entryInB)}, unusable)
	g.Expect(changed).To(HaveLen(2))
	g.Expect(table.apply(false, []platform.Record{record("i-1", entryInA)}, unusable)).To(Equal(map[string]bool{"a": true}))
	g.Expect(table.apply(false, []platform.Record{record("i-1", entryInB)}, unusable)).To(Equal(map[string]bool{"a": true, "b": true}), "an endpoint that changes its pool")
	g.Expect(table.list("a")).To(BeEmpty())
	g.Expect(table.list("b")).To(HaveLen(2))
	g.Expect(table.apply(false, []platform.Record{{Key: "i-2"}}, unusable)).To(Equal(map[string]bool{"b": true}))
	g.Expect(table.apply(true, nil, unusable)).To(HaveKey("b"), "a pool that has lost all its endpoints")
	g.Expect(table.list("b")).To(BeEmpty())
}
