package fleetops_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleetops(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleetops")
}
