package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
)

func TestLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newLogStore(time.Minute)
		l.append([]byte("old"))
		time.Sleep(50 * time.Second)
		l.append([]byte("new"))
		time.Sleep(20 * time.Second)
		_, err := l.read(context.Background(), 1, 10, 0)
		g.Expect(err).To(Equal(&platform.TrimmedError{From: 1, First: 2}))
		page, err := l.read(context.Background(), 2, 10, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Records).To(HaveLen(1))

		time.Sleep(time.Hour)
		page, err = l.read(context.Background(), 3, 10, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page).To(Equal(platform.LogPage{Records: []platform.LogRecord{}, First: 3, Head: 2}))
		g.Expect(l.append(nil)).To(BeEquivalentTo(3))
	})
}

// A lease that is not renewed lapses at its end, even if the task would have
// finished later. Both kinds of end are reported after the report lag.
func TestTaskLeaseAndReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newTaskStore(time.Second)
		worker := platform.Instance{State: platform.StateLive, Cores: 4, MemoryMB: 100}
		for id, duration := range map[string]int64{"forever": 0, "short": 1500, "long": 9000} {
			s.start(platform.Task{ID: id, Cores: 1, LeaseMillis: 2000, DurationMillis: duration}, worker, true)
		}
		states := func(all []platform.TaskReport) map[string]platform.TaskState {
			out := map[string]platform.TaskState{}
			for _, r := range all {
				out[r.ID] = r.State
			}
			return out
		}
		g.Expect(s.laggedReports()).To(BeEmpty())
		time.Sleep(1900 * time.Millisecond)
		s.renew([]string{"long", "short"}, 10*time.Second)
		g.Expect(states(s.laggedReports())).To(HaveKeyWithValue("short", platform.TaskRunning))
		time.Sleep(700 * time.Millisecond)
		want := map[string]platform.TaskState{"forever": platform.TaskLapsed, "short": platform.TaskDone, "long": platform.TaskRunning}
		g.Expect(states(s.currentReports())).To(Equal(want))
		g.Expect(states(s.laggedReports())).To(HaveKeyWithValue("forever", platform.TaskRunning))
		time.Sleep(time.Second)
		g.Expect(states(s.laggedReports())).To(Equal(want))
	})
}

func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(context.Background(), Options{Lag: time.Second}, newTaskStore(0))
		f.publish()
		time.Sleep(2 * time.Second)
		changedAt := time.Now()
		for range 2 {
			g.Expect(f.changeInstance("e1", InstanceChange{Entry: &EntryRow{Zone: "a", Addr: "127.0.0.1:1"}})).To(Succeed())
		}
		g.Expect(f.pollInstances(context.Background(), 1, 0).Version).To(BeEquivalentTo(1))
		list := f.pollInstances(context.Background(), 1, time.Minute)
		g.Expect(list.Version).To(BeEquivalentTo(3))
		g.Expect(time.Since(changedAt)).To(Equal(time.Second))
	})
}
