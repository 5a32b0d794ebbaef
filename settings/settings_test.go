package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/common/faults"
)

var _minimal = []string{"--id", "n1", "--region", "capital", "--zone", "capital-a", "--platform-url", "http://127.0.0.1:7900"}

func with(more ...string) []string {
	return append(append([]string(nil), _minimal...), more...)
}

func TestPrecedence(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("gossipPeriod: 3s\nzonePeriod: 4s\nhealthPeriod: 5s\nseeds: [127.0.0.1:1, 127.0.0.1:2]\n"), 0o600))
	t.Setenv("LENTILFERRYD_ZONE_PERIOD", "6s")
	t.Setenv("LENTILFERRYD_HEALTH_PERIOD", "7s")
	s, _, err := Load(with("--config", file, "--health-period", "8s"))
	assert.NilError(t, err)
	assert.Equal(t, s.Periods.Gossip, 3*time.Second)
	assert.Equal(t, s.Periods.Zones, 6*time.Second)
	assert.Equal(t, s.Periods.Health, 8*time.Second)
	assert.Equal(t, s.Periods.Control, time.Second)
	assert.Equal(t, len(s.Seeds), 2)
	// What is printed can be read again.
	printed := filepath.Join(t.TempDir(), "printed.yaml")
	assert.NilError(t, os.WriteFile(printed, []byte(s.String()), 0o600))
	assert.NilError(t, os.Unsetenv("LENTILFERRYD_ZONE_PERIOD"))
	assert.NilError(t, os.Unsetenv("LENTILFERRYD_HEALTH_PERIOD"))
	again, _, err := Load([]string{"--config", printed})
	assert.NilError(t, err)
	assert.Equal(t, again.String(), s.String())
}

// All faults are named at once, each with its field and the way to mend it.
func TestAllFaultsAreNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("zone: capital-a\nspeed: 7\nslots: {a: 1}\n"), 0o600))
	t.Setenv("LENTILFERRYD_SPED", "1")
	_, _, err := Load([]string{
		"--config", file, "--id", "a b", "--platform-url", "nowhere", "--call-address", "localhost:1", "--peer-address", "0.0.0.0:7902",
		"--admin-address", "127.0.0.1:0", "--gossip-period", "1", "--version", "v1", "--warmup", "0s",
	})
	var found faults.List
	assert.Assert(t, errors.As(err, &found))
	for _, want := range []string{
		"speed: is not a setting; remove it, or use one of adminAddress",
		"slots: has a nested value; give a plain one",
		"LENTILFERRYD_SPED: is not a setting",
		`id: "a b" has a character`,
		"region: is empty; set it with --region, LENTILFERRYD_REGION or in the file",
		`platformUrl: "nowhere" is not a URL`,
		`callAddress: "localhost:1" is not an IP and port`,
		"peerAddress: 0.0.0.0:7902 can't be reached by other nodes",
		`adminAddress: "127.0.0.1:0" has port 0`,
		`gossipPeriod: "1" is not a duration`,
		"version: is set without service",
		"warmup: 0s is too short",
	} {
		assert.ErrorContains(t, err, want)
	}
}

func TestAddressesAreDistinct(t *testing.T) {
	_, _, err := Load(with("--peer-address", "127.0.0.1:7901"))
	assert.ErrorContains(t, err, "peerAddress: 127.0.0.1:7901 is callAddress too")
	_, _, err = Load(with("--config", "/does/not/exist.yaml"))
	assert.ErrorContains(t, err, "exist.yaml")
	_, _, err = Load(with("--speed", "7"))
	assert.ErrorContains(t, err, "speed")
}
