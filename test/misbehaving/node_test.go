package misbehaving_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

var _ = Describe("a node", func() {
	// Guards against large bodies of legal size that stop short of their end and exceed the memory.
	It("outlives bodies that stop just short of their end", func() {
		start(1, trial.Options{}).outlives(bodies, stopShortOf([]byte(padded(maxBody))))
	})

	// Guards against the same bodies in small pieces, each of which looks like progress.
	It("outlives bodies that come piece by piece", func() {
		body := []byte(padded(maxBody))
		start(1, trial.Options{}).outlives(bodies, func(m *member) {
			m.post(m.path(), length(maxBody))
			pieces(body[:maxBody-1], 1<<10, m.writeBytes)
		})
	})

	// Guards against bodies of unknown length in large chunks, the last of which never comes.
	It("outlives chunked bodies in large chunks", func() {
		var framed bytes.Buffer
		pieces(padded(maxBody), 64<<10, func(piece string) { framed.WriteString(chunk(piece)) })
		start(1, trial.Options{}).outlives(bodies, func(m *member) {
			m.post(m.path(), chunked)
			m.writeBytes(framed.Bytes())
		})
	})

	// Guards against the same bodies in chunks of one byte, whose framing is several times the body.
	It("outlives chunked bodies in chunks of one byte", func() {
		var framed bytes.Buffer
		pieces(padded(maxBody), 1, func(piece string) { framed.WriteString(chunk(piece)) })
		start(1, trial.Options{}).outlives(bodies, func(m *member) {
			m.post(m.path(), chunked)
			pieces(framed.Bytes(), 32<<10, m.writeBytes)
		})
	})

	// Guards against bodies of legal size that decode into many times their size.
	DescribeTable("outlives whole bodies that decode into far more than their size", func(element string) {
		body := whole(`{"spec":"10","steps":[`, element, `{"count":1}]}`)
		start(1, trial.Options{}).outlives(writers, func(m *member) { m.submitMany(body) })
	},
		Entry("steps", `{},`),
		Entry("steps that replace each other", strings.Repeat("{},", 200)+`{}],"steps":[`))

	// Guards against accepted jobs that take far more of their owner's memory than their bodies.
	DescribeTable("outlives whole jobs that are accepted", func(body string) {
		start(1, trial.Options{}).outlives(writers, func(m *member) { m.submitMany(body) })
	},
		Entry("with long lists of earlier steps", whole(`{"spec":"10","steps":[{"count":1},{"count":1,"after":[`, `0,`, `0]}]}`)),
		Entry("with a schedule in the past", `{"spec":"10","steps":[{"count":100,"cpu":1,"memMb":1,"estMs":1}],"times":100000,"startAtMs":1,"intervalMs":1}`),
		Entry("with a schedule that never ends", `{"spec":"10","steps":[{"count":100,"cpu":1,"memMb":1,"estMs":1},{"count":1,"requires":"none"}],"times":100000,"startAtMs":1,"intervalMs":1}`),
		Entry("with names that almost fill a record", whole(`{"spec":"10","steps":[`, `{"count":1,"cpu":1,"estMs":1,"image":"`+strings.Repeat("i", 230000)+`"},`, `{"count":1}]}`)),
		Entry("with a name as long as the body", whole(`{"spec":"10","steps":[{"count":1,"cpu":1,"estMs":1,"image":"`, "i", `"}]}`)),
		Entry("with many tasks", `{"spec":"10","steps":[{"count":3000,"cpu":1,"memMb":1,"estMs":1}]}`),
		Entry("with long names", whole(`{"spec":"10","steps":[`, `{"count":1,"cpu":1,"estMs":1,"image":"`+strings.Repeat("i", 1000)+`"},`, `{"count":1}]}`)))

	// Guards against a value of a caller that is repeated whole in the answer and the log.
	It("outlives values as long as their body", func() {
		body := whole(`{"spec":"10","steps":[{"count":`, "1", `}]}`)
		t := start(1, trial.Options{})
		t.outlives(writers, func(m *member) { m.submitMany(body) })
		t.outlives(writers, func(m *member) {
			m.write("GET /" + pool + "/" + strings.Repeat("i", 15<<10) + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
		})
		for line := range strings.Lines(t.Nodes()[0].Log()) {
			Expect(len(line)).To(BeNumerically("<=", 8<<10), "log line")
		}
	})

	// Guards against connections that stay open for a body that no handler reads.
	DescribeTable("outlives bodies that no handler reads", func(method, path string) {
		body := bytes.Repeat([]byte("b"), maxBody-1)
		start(1, trial.Options{}).outlives(connections, func(m *member) {
			m.write(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + length(maxBody) + "\r\n\r\n")
			m.writeBytes(body)
		})
	},
		Entry("of a query", "GET", "/"+pool+"/"),
		Entry("to an unknown queue", "POST", "/elsewhere/00000000000000aa"))

	// Guards against answers that nobody reads: the requests behind them fill the receive queues.
	It("outlives clients that do not read their answers", func() {
		ask := bytes.Repeat([]byte("GET /"+pool+"/ HTTP/1.1\r\nHost: "+host+"\r\n\r\n"), 4000)
		start(1, trial.Options{}).outlives(connections, func(m *member) {
			m.unread = true
			m.writeBytes(ask)
		})
	})

	// Guards against headers that do not end, and ones whose many fields cost far more than their bytes.
	DescribeTable("outlives headers", func(end string) {
		var fields strings.Builder
		for i := range 1900 {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		start(1, trial.Options{}).outlives(bodies, func(m *member) {
			m.write("POST " + m.path() + " HTTP/1.1\r\nHost: " + host + "\r\n" + length(1000) + "\r\n" + fields.String() + end)
		})
	},
		Entry("that do not end", ""),
		Entry("of bodies that do not end", "\r\n{"))

	// Guards against connections that take all descriptors, so that neither callers nor the store are reached.
	It("outlives more connections than descriptors", func() {
		t := start(1, trial.Options{Descriptors: descriptors})
		gather(connections, t.Nodes()[0].Front, func(m *member) { m.write("GET /") })
		t.expectOrdinaryAnswers()
		t.expectWithinLimits(descriptors - reserved)
	})

	// Guards against a crowd at a node that has no configuration, and so no limits of bodies, yet.
	It("outlives bodies before it has a configuration", func() {
		platform, err := wire.New(map[string]int{pool: 2}, 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
		t := startOn(platform, 1, trial.Options{})
		Eventually(func() int { return t.submitSmall() }, conditionTimeout).Should(Equal(http.StatusServiceUnavailable))
		gather(connections, t.Nodes()[0].Front, stopShortOf(bytes.Repeat([]byte("b"), maxBody)))
		Expect(platform.Publish(1, host, pool)).To(Succeed())
		t.expectOrdinaryAnswers()
		t.expectWithinLimits(unlimited)
	})

	// Guards against crowds at all nodes at once, the owner of the pool among them.
	It("outlives crowds at all nodes at once", func() {
		start(3, trial.Options{}).outlives(bodies, stopShortOf([]byte(padded(maxBody))))
	})

	// Guards against an owner that holds the large jobs which all nodes send it at the same time.
	It("outlives large jobs at all nodes at once", func() {
		body := largeJob()
		start(3, trial.Options{}).outlives(writers, func(m *member) { m.submitMany(body) })
	})

	// Guards against a planned stop that waits for bodies that never end.
	It("stops while bodies stay open", func() {
		t := start(1, trial.Options{})
		gather(bodies, t.Nodes()[0].Front, func(m *member) {
			m.post(m.path(), length(1000))
			m.write("{")
		})
		Expect(t.Nodes()[0].Signal(syscall.SIGTERM)).To(Succeed())
		Expect(t.Nodes()[0].Wait()).To(BeZero())
	})

	// Guards against large jobs that only the owner of their pool can accept.
	It("accepts a large job at every node", func() {
		t := start(3, trial.Options{})
		body := largeJob()
		for i, n := range t.Nodes() {
			m := &member{number: i}
			Eventually(func() int { return m.ask(n.Front, length(len(body)), body) }, conditionTimeout).Should(Equal(http.StatusOK), n.Name)
		}
		t.expectWithinLimits(unlimited)
	})

	// Guards against limits that a client within the platform's limits meets.
	DescribeTable("serves a whole body of the largest size in calm", func(lines string, framed func(string) string) {
		t := start(1, trial.Options{})
		m := &member{number: 1}
		Expect(m.ask(t.Nodes()[0].Front, lines, framed(padded(maxBody)))).To(Equal(http.StatusOK))
		t.expectWithinLimits(unlimited)
	},
		Entry("with its length", length(maxBody), func(body string) string { return body }),
		Entry("in chunks", chunked, func(body string) string {
			var out strings.Builder
			pieces(body, 1000, func(piece string) { out.WriteString(chunk(piece)) })
			return out.String() + "0\r\n\r\n"
		}))
})

// stopShortOf returns what a member does that sends a body but for its last byte.
func stopShortOf(body []byte) func(*member) {
	return func(m *member) {
		m.post(m.path(), length(len(body)))
		m.writeBytes(body[:len(body)-1])
	}
}

// whole returns a body that repeats a middle part and is just within the largest size.
func whole(head, middle, tail string) string {
	return head + strings.Repeat(middle, (maxBody-len(head)-len(tail))/len(middle)) + tail
}

// largeJob returns a job of some 150 KB.
func largeJob() string {
	return `{"spec":"10","steps":[` + strings.Repeat(`{"count":1,"cpu":1,"estMs":1,"image":"`+strings.Repeat("i", 1000)+`"},`, 150) + `{"count":1}]}`
}
