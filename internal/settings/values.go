package settings

import (
	"net/netip"
	"net/url"
	"time"
)

type keyID struct{ section, key string }

// Values holds every key of a table, checked.
type Values struct {
	m map[keyID]any
}

// get panics on a key that the table lacks: no file can cause that, and the
// test that loads each daemon's settings meets it.
func get[T any](v Values, section, key, wanted string) T {
	value, ok := v.m[keyID{section, key}].(T)
	if !ok {
		panic(&UndeclaredKeyError{Section: section, Key: key, Wanted: wanted})
	}
	return value
}

// String returns a string, name or path.
func (v Values) String(section, key string) string { return get[string](v, section, key, "string") }

// Int returns a whole number.
func (v Values) Int(section, key string) int { return int(get[int64](v, section, key, "integer")) }

// Bytes returns a size in bytes.
func (v Values) Bytes(section, key string) int64 { return get[int64](v, section, key, "bytes") }

// Duration returns a duration.
func (v Values) Duration(section, key string) time.Duration {
	return get[time.Duration](v, section, key, "duration")
}

// Addr returns an IP number and port.
func (v Values) Addr(section, key string) netip.AddrPort {
	return get[netip.AddrPort](v, section, key, "host:port")
}

// List returns a comma-separated list.
func (v Values) List(section, key string) []string { return get[[]string](v, section, key, "list") }

// Seeds returns a list of id@host:port.
func (v Values) Seeds(section, key string) []Seed { return get[[]Seed](v, section, key, "seeds") }

// URL returns a URL.
func (v Values) URL(section, key string) *url.URL { return get[*url.URL](v, section, key, "URL") }

// Bool returns a boolean.
func (v Values) Bool(section, key string) bool { return get[bool](v, section, key, "boolean") }

// Ratio returns a number from 0 to 1.
func (v Values) Ratio(section, key string) float64 { return get[float64](v, section, key, "ratio") }
