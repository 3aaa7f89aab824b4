package quotarelay

import (
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/systems/quota"
	"gotest.tools/v3/assert"
)

// After the store came back from an older copy the directory was empty for a moment.
// When it was read again the process ended with a panic, and until then it lent no share.
// Soak seed 210000 found it.
func TestEmptyDirectoryKeepsTheLastOne(t *testing.T) {
	r := newBenchRelay()
	proxies := 0
	r.Directory = func() Directory {
		return Directory{Directory: quota.Directory{Proxies: proxies, Near: proxies, Listed: proxies > 0}}
	}
	assert.Assert(t, !r.readDirectory(), "not read yet")
	for _, proxies = range []int{5, 0, 5} {
		assert.Assert(t, r.readDirectory(), "%d proxies", proxies)
		assert.Equal(t, r.directory.Proxies, 5)
	}
}
