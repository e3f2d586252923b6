package fleetlog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleetlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetlog")
}
