package commands

import (
	"encoding/hex"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/control"
	"lentilferry.example/lentilferry/wire"
)

// Errors alone decide the exit code. The file is compared with the node's
// configuration also where the node refuses to change it.
func TestConfigCheck(t *testing.T) {
	f := newFixture(t)
	mesh := filepath.Join(f.dir, "mesh.yaml")
	f.expect(ExitOK, "Differences from revision 0: 5. Nothing was changed.", "config", "check", mesh)
	f.expect(ExitOK, "Accepted as revision 1", "config", "apply", mesh)
	f.node.operations = control.NewOperations(control.OperationsDependencies{Codec: wire.Codec{}, Holder: f.node.holder, IsManagedElsewhere: true})
	f.expect(ExitOK, "errors: 0, warnings: 0.\nDifferences from revision 1: 0.", "config", "check", mesh)

	changed := f.writeFile("changed.yaml", strings.NewReplacer("  - {service: desk, name: v2}\n", "", "timeout: 2s", "timeout: 2s, objective: 3s").Replace(_document))
	out := f.expect(ExitOK, "warning: routes[slips].objective: 3s is above", "config", "check", changed)
	assert.Assert(t, strings.Contains(out, "removed version desk/v2\nchanged route slips\nDifferences from revision 1: 2."), out)
	f.expect(ExitOK, `"name": "desk/v2"`, "config", "check", "--output", "json", changed)
	f.expect(ExitOK, "change: removed", "config", "check", "--output", "yaml", changed)

	bad := f.writeFile("bad.yaml", strings.Replace(_document, "timeout: 2s", "timeout: 3m, attempts: 9", 1))
	out = f.expect(ExitUsage, "error: routes[slips].timeout: 3m0s is out of range", "config", "check", bad)
	assert.Assert(t, strings.Contains(out, "warning: routes[slips].attempts: 9 is above 5"), out)
	assert.Assert(t, strings.Contains(out, "Not compared with the configuration in force: the file has errors."), out)
	f.expect(ExitUsage, `"line": 8`, "config", "check", "--output", "json", f.writeFile("syntax.yaml", strings.Replace(_document, "timeout", "time", 1)))
	f.expect(ExitUsage, "give one file", "config", "check")
}

// Without a node the file is checked all the same, and the report says that the
// comparison is missing.
func TestConfigCheckWithoutNode(t *testing.T) {
	f := newFixture(t)
	withoutWeights := f.writeFile("later.yaml", strings.Replace(_document, ", weights: [{version: v1, share: 100}]", "", 1))
	f.expect(ExitOK, "Not compared with the configuration in force: no node gave its configuration: no node answers at 127.0.0.1:1.",
		"--nodes", "127.0.0.1:1", "config", "check", withoutWeights)
	out := f.expect(ExitOK, "--offline is set", "--nodes", "127.0.0.1:1", "config", "check", "--offline", "--output", "json", withoutWeights)
	assert.Assert(t, !strings.Contains(out, "differences"), out)
	f.expect(ExitUsage, "shares add up to 0%", "config", "check", withoutWeights)
	f.expect(ExitUsage, "--nodes", "--nodes", "localhost", "config", "check", withoutWeights)
}

// The report counts keys and never prints one or its hash.
func TestConfigCheckPrintsNoKeys(t *testing.T) {
	f := newFixture(t)
	workspace := func(name, text string) string {
		return f.writeFile(name, _document+"workspaces:\n  - "+text+"\n")
	}
	f.expect(ExitOK, "Accepted", "config", "apply", workspace("old.yaml", "{name: acme, keys: [old-secret, kept-secret]}"))
	keys := workspace("new.yaml", "{name: acme, keys: [kept-secret, new-secret, other-secret]}")
	for _, test := range []struct {
		code int
		text string
		args []string
	}{
		{ExitOK, "changed workspace acme (keys added: 2, removed: 1)", []string{keys}},
		{ExitOK, `"keysAdded": 2`, []string{"--output", "json", keys}},
		{ExitUsage, "line 12, column", []string{workspace("bad.yaml", "{name: acme, keyz: [new-secret]}")}},
		{ExitUsage, "is not a SHA-256 hash", []string{workspace("hash.yaml", "{name: acme, keyHashes: [new-secret]}")}},
	} {
		out := f.expect(test.code, test.text, append([]string{"config", "check"}, test.args...)...)
		for _, key := range []string{"old-secret", "kept-secret", "new-secret", "other-secret"} {
			assert.Assert(t, !strings.Contains(out, key), out)
			assert.Assert(t, !strings.Contains(out, hex.EncodeToString(sha256Of(key))[:8]), out)
		}
	}
}
