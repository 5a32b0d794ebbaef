package call

import (
	"net/http"
	"slices"
	"strings"
)

const (
	// _headerAuthorization holds a caller's credentials (RFC 9110, section 11.6.2).
	_headerAuthorization = "Authorization"
	// _tokenScheme is the authentication scheme of workspaces' keys.
	_tokenScheme = "Token"
)

// TokenOf returns the key of an "Authorization: Token KEY" header; empty if
// there is none.
func TokenOf(h http.Header) string {
	for _, value := range h[_headerAuthorization] {
		if token, ok := cutTokenScheme(value); ok {
			return token
		}
	}
	return ""
}

// RemoveTokens removes the keys that TokenOf reads. Credentials of other schemes
// stay.
func RemoveTokens(h http.Header) {
	isToken := func(value string) bool {
		_, ok := cutTokenScheme(value)
		return ok
	}
	values := h[_headerAuthorization]
	switch {
	case !slices.ContainsFunc(values, isToken):
	case len(values) == 1:
		delete(h, _headerAuthorization)
	default:
		// The values are shared with the request that they came from.
		h[_headerAuthorization] = slices.DeleteFunc(slices.Clone(values), isToken)
		if len(h[_headerAuthorization]) == 0 {
			delete(h, _headerAuthorization)
		}
	}
}

// SetTokenChallenge names the scheme in which a caller has to give its key.
func SetTokenChallenge(h http.Header) {
	h.Set("WWW-Authenticate", _tokenScheme)
}

// cutTokenScheme returns what follows the scheme, which is case-insensitive (RFC
// 9110, section 11.1). It returns false for credentials of another scheme.
func cutTokenScheme(value string) (string, bool) {
	value = strings.Trim(value, " \t")
	if len(value) < len(_tokenScheme) || !strings.EqualFold(value[:len(_tokenScheme)], _tokenScheme) {
		return "", false
	}
	rest := value[len(_tokenScheme):]
	token := strings.TrimLeft(rest, " \t")
	return token, rest == "" || len(token) < len(rest)
}
