package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simulated platform")
}

// testPlatform is a small simulated platform with its clients.
type testPlatform struct {
	*standin.Standin
	platform *platform.Client
	control  *standin.ControlClient
}

// startStandin starts a platform with four workers in two racks, and checks at
// the end of the test that it leaves no goroutine running.
func startStandin(change func(*standin.Options)) testPlatform {
	before := goleak.IgnoreCurrent()
	opts := standin.Options{Fleet: standin.FleetSpec{
		Zones: []standin.ZoneSpec{{Name: "a", Racks: 1}, {Name: "b", Racks: 1}}, InstancesPerRack: 2,
		Cores: 16, MemoryMB: 1024, Slots: 2, Connections: 4, IDPrefix: "w",
		Entries: []standin.EntrySpec{{ID: "e1", Zone: "a", Addr: "127.0.0.1:1"}}},
		Reboot: 1}
	if change != nil {
		change(&opts)
	}
	r := testPlatform{Standin: standin.New(opts)}
	Expect(r.Start()).To(Succeed())
	r.platform = platform.NewClient(r.URL(), nil)
	r.control = standin.NewControlClient(r.ControlURL())
	DeferCleanup(func() {
		r.platform.CloseIdleConnections()
		r.control.Close()
		http.DefaultClient.CloseIdleConnections()
		r.Close()
		Expect(goleak.Find(before)).To(Succeed())
	})
	return r
}

// instance returns the actual state of one instance.
func (r testPlatform) instance(id string) standin.ActualInstance {
	all, err := r.control.Instances(context.Background())
	Expect(err).NotTo(HaveOccurred())
	for _, i := range all {
		if i.ID == id {
			return i
		}
	}
	Fail("no instance " + id)
	return standin.ActualInstance{}
}

// get sends a request that takes workMillis to an instance.
func (r testPlatform) get(hc *http.Client, instance, id, workMillis string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.instance(instance).Addr+"/tabs/item/1", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderWork, workMillis)
	return hc.Do(req)
}

// decodeAnswer decodes the body of an endpoint's response.
func decodeAnswer(resp *http.Response) (standin.EndpointAnswer, error) {
	defer func() { _ = resp.Body.Close() }()
	var a standin.EndpointAnswer
	err := json.NewDecoder(resp.Body).Decode(&a)
	return a, err
}

// runs returns the whole history.
func (r testPlatform) runs() []standin.Run {
	h, err := r.control.History(context.Background(), 1)
	Expect(err).NotTo(HaveOccurred())
	return h.Runs
}
