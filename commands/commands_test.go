package commands

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/control"
	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/operator"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/wire"
)

const _document = `
services:
  - {name: desk, weights: [{version: v1, share: 100}]}
versions:
  - {service: desk, name: v1}
  - {service: desk, name: v2}
routes:
  - {name: slips, service: desk, pathPrefix: /, class: lookup, timeout: 2s}
policies:
  - {service: desk, stages: [5, 100], minDwell: 10s, convergenceAllowance: 5s}
`

// fakeNode serves operators' requests on a fake platform, without membership
// and gossip.
type fakeNode struct {
	platform   *fakeplatform.Platform
	operations *control.Operations
	holder     *revision.Holder
	table      *membership.Table
	crashes    *crash.Table
	// lifts holds the operators who lifted blocks.
	lifts []string
}

func (n *fakeNode) Operations() *control.Operations { return n.operations }
func (n *fakeNode) Holder() *revision.Holder        { return n.holder }
func (n *fakeNode) Members() *membership.Table      { return n.table }
func (n *fakeNode) InForce(context.Context, time.Time) membership.InForce {
	return membership.InForce{Revision: n.holder.Number()}
}

func (n *fakeNode) BlockedCalls(now time.Time) []crash.Record { return n.crashes.Records(now) }
func (n *fakeNode) LiftBlockedCall(now time.Time, content crash.Content, operator string) (crash.Record, bool) {
	n.lifts = append(n.lifts, operator)
	return n.crashes.Lift(now, content)
}

// fixture runs the command line against a node, with a directory for files.
type fixture struct {
	t    *testing.T
	node *fakeNode
	url  string
	dir  string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	n := &fakeNode{platform: fakeplatform.New(), holder: revision.NewHolder(), crashes: crash.New("n1")}
	self := membership.Member{ID: "n1", Incarnation: 1, State: membership.Serving, Zone: "a", Service: "desk", Version: "v1", Slots: 4, PeerAddress: netip.MustParseAddrPort("10.0.0.1:7102")}
	n.table = membership.New(membership.DefaultTiming(), self, rand.New(rand.NewPCG(1, 1)), time.Now())
	candidate := self
	candidate.ID, candidate.Version = "n2", "v2"
	n.table.Merge(time.Now(), candidate)
	n.operations = control.NewOperations(control.OperationsDependencies{
		Platform: n.platform, Committer: revision.NewCommitter(n.platform, wire.Codec{}, n.holder),
		Codec: wire.Codec{}, Holder: n.holder, Members: n.table, Now: time.Now,
	})
	mux := http.NewServeMux()
	mux.Handle(operator.New(n, time.Now).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f := &fixture{t: t, node: n, url: strings.TrimPrefix(server.URL, "http://"), dir: t.TempDir()}
	f.writeFile("mesh.yaml", _document)
	return f
}

func (f *fixture) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs the command line and returns its exit code and its output.
func (f *fixture) run(args ...string) (int, string) {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	code := Run(ctx, Environment{Stdout: &out, Stderr: &out, Transport: &http.Transport{DisableKeepAlives: true}, Now: time.Now},
		append([]string{"--nodes", f.url, "--operator", "ann"}, args...))
	return code, out.String()
}

// expect runs the command line, checks the exit code and that the output
// contains the text, and returns the output.
func (f *fixture) expect(code int, text string, args ...string) string {
	f.t.Helper()
	got, out := f.run(args...)
	assert.Equal(f.t, got, code, out)
	assert.Assert(f.t, strings.Contains(out, text), "%q is not in:\n%s", text, out)
	return out
}

func TestChangesAreRefusedWhereThePlatformHasTheConfiguration(t *testing.T) {
	f := newFixture(t)
	mesh := filepath.Join(f.dir, "mesh.yaml")
	f.expect(ExitOK, "Accepted as revision 1", "config", "apply", mesh)
	f.node.operations = control.NewOperations(control.OperationsDependencies{
		Platform: f.node.platform, Committer: revision.NewCommitter(f.node.platform, wire.Codec{}, f.node.holder),
		Codec: wire.Codec{}, Holder: f.node.holder, Members: f.node.table, IsManagedElsewhere: true, Now: time.Now,
	})
	for _, args := range [][]string{
		{"config", "apply", mesh},
		{"plan", "--service", "desk", "--to", "v2", "--by", "1h"},
		{"confirm", "desk.1"},
		{"reject", "desk.1"},
		{"rollback", "desk.1"},
	} {
		f.expect(ExitRefused, "operators write the configuration and the orders to the users' platform", args...)
	}
	f.expect(ExitOK, "pathPrefix: /", "config", "get")
}

// No command prints a key, whatever is wrong with the file that has it.
func TestKeysAreNotPrinted(t *testing.T) {
	const key = "very-secret-key"
	f := newFixture(t)
	file := func(name, workspace string) string {
		return f.writeFile(name, _document+"workspaces:\n  - "+workspace+"\n")
	}
	for _, test := range []struct {
		code int
		text string
		args []string
	}{
		{ExitOK, "added workspace acme", []string{"config", "apply", file("good.yaml", "{name: acme, keys: ["+key+"]}")}},
		{ExitOK, hex.EncodeToString(sha256Of(key)), []string{"config", "get"}},
		{ExitOK, "changed workspace acme", []string{"config", "diff", file("changed.yaml", "{name: acme, keys: [another-secret, "+key+"]}")}},
		{ExitUsage, "column", []string{"config", "validate", file("bad.yaml", "{name: acme, keyz: ["+key+"]}")}},
		{ExitUsage, "is not a SHA-256 hash", []string{"config", "validate", file("hash.yaml", "{name: acme, keyHashes: ["+key+"]}")}},
		{ExitUsage, "contains a key of workspace", []string{"config", "apply", file("shared.yaml", "{name: acme, keys: ["+key+"]}\n  - {name: zeta, keys: ["+key+"]}")}},
		{ExitOK, "", []string{"status"}},
	} {
		out := f.expect(test.code, test.text, test.args...)
		assert.Assert(t, !strings.Contains(out, "secret"), out)
	}
}

func sha256Of(text string) []byte {
	hash := sha256.Sum256([]byte(text))
	return hash[:]
}

// From the first configuration to the rollback of a rollout, each command is
// accepted or refused according to the current state, with its exit code.
func TestRolloutLifecycle(t *testing.T) {
	f := newFixture(t)
	mesh := filepath.Join(f.dir, "mesh.yaml")
	f.expect(ExitRefused, "the node has no configuration yet; apply one", "config", "get")
	f.expect(ExitOK, "is valid", "config", "validate", mesh)
	f.expect(ExitOK, "Nothing was changed", "config", "diff", mesh)
	f.expect(ExitOK, "Accepted as revision 1", "config", "apply", mesh)
	f.expect(ExitOK, "No difference from revision 1", "config", "apply", mesh)
	f.expect(ExitOK, "pathPrefix: /", "config", "get")
	f.expect(ExitOK, "No rollouts", "status")
	f.expect(ExitOK, "serving", "members")

	f.expect(ExitRefused, `service: "disk" does not exist`, "plan", "--service", "disk", "--to", "v2", "--by", "1h")
	f.expect(ExitRefused, `version: "v3" is not a version of desk`, "plan", "--service", "desk", "--to", "v3", "--by", "1h")
	f.expect(ExitRefused, "the earliest deadline is", "plan", "--service", "desk", "--to", "v2", "--by", "10s")
	out := f.expect(ExitOK, "Nothing has changed yet. Next: lentilferry confirm", "plan", "--service", "desk", "--to", "v2", "--by", "1h")
	id := strings.Fields(out[strings.Index(out, "lentilferry confirm ")+len("lentilferry confirm "):])[0]
	id = strings.TrimSuffix(id, ",")
	f.expect(ExitRefused, "waits for confirmation", "plan", "--service", "desk", "--to", "v2", "--by", "1h")
	f.expect(ExitRefused, "can't be rolled back; a planned one can be rejected", "rollback", id)
	f.expect(ExitOK, "The system moves desk to v2 now", "confirm", id)
	f.expect(ExitRefused, "is running", "reject", id)
	f.expect(ExitOK, "is running", "status", "--service", "desk")
	f.expect(ExitOK, `"state": "ROLLOUT_STATE_RUNNING"`, "--output", "json", "status")
	f.expect(ExitOK, "state: ROLLOUT_STATE_RUNNING", "status", "--output", "yaml")
	f.expect(ExitOK, "gets all traffic of desk again", "rollback", id)
	f.expect(ExitRefused, "is not the last one", "confirm", "desk.00000000")
}

// While the platform is unavailable, the status is still shown, and commands
// that need the platform exit with the code that says that nothing was changed.
func TestPlatformUnavailable(t *testing.T) {
	f := newFixture(t)
	mesh := filepath.Join(f.dir, "mesh.yaml")
	f.expect(ExitOK, "Accepted", "config", "apply", mesh)
	f.node.platform.SetFaults(fakeplatform.Faults{Down: true})
	f.expect(ExitOK, "The platform can't be read", "status")
	f.expect(ExitUnavailable, "not reached, nothing was changed", "plan", "--service", "desk", "--to", "v2", "--by", "1h")
	f.expect(ExitUnavailable, "not reached, nothing was changed", "config", "diff", mesh)
}

// An invalid command line or file exits with ExitUsage and says what is wrong.
func TestUsageErrors(t *testing.T) {
	f := newFixture(t)
	for _, test := range []struct {
		text string
		args []string
	}{
		{"give --service, --to and --by", []string{"plan"}},
		{"is neither a duration such as 45m nor a time", []string{"plan", "--service", "desk", "--to", "v2", "--by", "soon"}},
		{"is in the past", []string{"plan", "--service", "desk", "--to", "v2", "--by", "2001-01-01T00:00:00Z"}},
		{"is not a share", []string{"plan", "--service", "desk", "--to", "v2", "--by", "1h", "--share", "120"}},
		{"give one rollout; 0 given", []string{"confirm"}},
		{"can't read the file", []string{"config", "apply", "/does/not/exist"}},
		{"--nodes", []string{"--nodes", "localhost", "status"}},
		{`"frobnicate" is not a command of lentilferry`, []string{"frobnicate"}},
		{"config needs a command", []string{"config"}},
		{"give one file", []string{"config", "apply"}},
		{"shares add up to 90%", []string{"config", "validate", f.writeFile("bad.yaml", strings.Replace(_document, "share: 100", "share: 90", 1))}},
		{"shares add up to 90%", []string{"config", "apply", filepath.Join(f.dir, "bad.yaml")}},
	} {
		f.expect(ExitUsage, test.text, test.args...)
	}
	f.expect(ExitOK, "Exit codes", "--help")
	f.expect(ExitOK, "--by", "plan", "--help")
	f.expect(ExitOK, "lentilferry 0", "version")
	f.expect(ExitOK, `"version": "0`, "version", "--output", "json")
	f.expect(ExitOK, "valid: ", "config", "validate", "--output", "yaml", filepath.Join(f.dir, "mesh.yaml"))
}

// A node that accepts a request and breaks the connection leaves the outcome
// unknown. A node that can't be reached changed nothing, and the next one is
// tried.
func TestUnreachableNodes(t *testing.T) {
	f := newFixture(t)
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	address := strings.TrimPrefix(aborting.URL, "http://")
	mesh := filepath.Join(f.dir, "mesh.yaml")
	f.expect(ExitUnknown, "the outcome is not known", "--nodes", address, "config", "apply", mesh)
	f.expect(ExitUnavailable, "no node answers at 127.0.0.1:1", "--nodes", "127.0.0.1:1", "config", "apply", mesh)
	f.expect(ExitOK, "Accepted as revision 1", "--nodes", "127.0.0.1:1,"+address+","+f.url, "config", "apply", mesh)
}
