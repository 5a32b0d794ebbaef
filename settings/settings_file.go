package settings

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"lentilferry.example/lentilferry/common/faults"
)

// _maxFileBytes is the number of bytes of a settings file that are read; the
// rest is ignored.
const _maxFileBytes = 1 << 20

// fileParser passes the settings of a YAML file to ff and collects the faults.
type fileParser struct {
	known map[string]*string
	found faults.List
}

// parse calls set for each setting in the file.
func (p *fileParser) parse(file io.Reader, set func(name, value string) error) error {
	document, err := io.ReadAll(io.LimitReader(file, _maxFileBytes))
	if err != nil {
		return errors.Wrap(err, "read settings file")
	}
	var entries yaml.MapSlice
	if err := yaml.Unmarshal(document, &entries); err != nil {
		return errors.Newf("settings file is not valid YAML: %s", strings.TrimSpace(yaml.FormatError(err, false, true)))
	}
	flags := make(map[string]string, len(p.known))
	for flag := range p.known {
		flags[yamlName(flag)] = flag
	}
	for _, entry := range entries {
		name := fmt.Sprint(entry.Key)
		flag, ok := flags[name]
		if !ok {
			p.found.Addf(name, "is not a setting; remove it, or use one of %s", strings.Join(sortedKeys(flags), ", "))
			continue
		}
		text, ok := scalar(entry.Value)
		if !ok {
			p.found.Addf(name, "has a nested value; use a scalar or a list")
			continue
		}
		if err := set(flag, text); err != nil {
			return err
		}
	}
	return nil
}

// sortedKeys returns the keys of a map, sorted.
func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// scalar returns a scalar or a list of scalars as text, with commas between the
// elements, and false for any other value.
func scalar(value any) (string, bool) {
	switch v := value.(type) {
	case nil:
		return "", true
	case []any:
		texts := make([]string, 0, len(v))
		for _, item := range v {
			text, ok := scalar(item)
			if !ok {
				return "", false
			}
			texts = append(texts, text)
		}
		return strings.Join(texts, ","), true
	case yaml.MapSlice, map[string]any:
		return "", false
	default:
		return fmt.Sprint(v), true
	}
}
