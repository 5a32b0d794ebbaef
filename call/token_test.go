package call_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
)

func TestTokenOf(t *testing.T) {
	for _, test := range []struct {
		name   string
		values []string
		want   string
		// kept are the values that RemoveTokens leaves.
		kept []string
	}{
		{"none", nil, "", nil},
		{"a token", []string{"Token k1"}, "k1", nil},
		{"scheme in lower case", []string{"token k1"}, "k1", nil},
		{"more space", []string{" Token \t k1 "}, "k1", nil},
		{"a token without a key", []string{"Token"}, "", nil},
		{"another scheme", []string{"Bearer k1"}, "", []string{"Bearer k1"}},
		{"a scheme that begins alike", []string{"Tokens k1"}, "", []string{"Tokens k1"}},
		{"another scheme first", []string{"Bearer b", "Token k1"}, "k1", []string{"Bearer b"}},
		{"two tokens", []string{"Token k1", "Token k2"}, "k1", nil},
	} {
		shared := append([]string(nil), test.values...)
		h := http.Header{}
		if shared != nil {
			h["Authorization"] = shared
		}
		assert.Equal(t, call.TokenOf(h), test.want, test.name)
		call.RemoveTokens(h)
		assert.DeepEqual(t, h.Values("Authorization"), test.kept)
		assert.DeepEqual(t, shared, append([]string(nil), test.values...))
	}
}
