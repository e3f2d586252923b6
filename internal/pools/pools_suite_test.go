package pools_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPools(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pools")
}
