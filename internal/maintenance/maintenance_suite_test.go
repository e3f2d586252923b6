package maintenance_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	_ "pgregory.net/rapid"
)

func TestMaintenance(t *testing.T) {
	RegisterFailHandler(Fail)
	// Property tests draw the same cases in every run.
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "Maintenance")
}
