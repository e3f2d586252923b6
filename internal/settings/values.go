package settings

import (
	"net/netip"
	"net/url"
	"time"
)

type keyID struct{ section, key string }

// Values holds the checked value of every key of a table.
type Values struct {
	byKey map[keyID]any
}

// get panics if the table does not declare the key with this type. No settings
// file can cause that, and loading the settings of the daemon in a test reveals
// it.
func get[T any](v Values, section, key, wanted string) T {
	value, ok := v.byKey[keyID{section, key}].(T)
	if !ok {
		panic(&UndeclaredKeyError{Section: section, Key: key, Wanted: wanted})
	}
	return value
}

// String returns a string, name, choice or path.
func (v Values) String(section, key string) string { return get[string](v, section, key, "string") }

// Int returns an integer.
func (v Values) Int(section, key string) int { return int(get[int64](v, section, key, "integer")) }

// Bytes returns a size in bytes.
func (v Values) Bytes(section, key string) int64 { return get[int64](v, section, key, "bytes") }

// Duration returns a duration.
func (v Values) Duration(section, key string) time.Duration {
	return get[time.Duration](v, section, key, "duration")
}

// Addr returns an IP address and port, invalid for an absent optional key.
func (v Values) Addr(section, key string) netip.AddrPort {
	return get[netip.AddrPort](v, section, key, "host:port")
}

// List returns a comma-separated list.
func (v Values) List(section, key string) []string { return get[[]string](v, section, key, "list") }

// Seeds returns a list of peers given as id@host:port.
func (v Values) Seeds(section, key string) []Seed { return get[[]Seed](v, section, key, "seeds") }

// URL returns an http or https URL.
func (v Values) URL(section, key string) *url.URL { return get[*url.URL](v, section, key, "URL") }

// Bool returns a boolean.
func (v Values) Bool(section, key string) bool { return get[bool](v, section, key, "boolean") }

// Number returns a number.
func (v Values) Number(section, key string) float64 {
	return get[float64](v, section, key, "number")
}

// Ratio returns a number from 0 to 1.
func (v Values) Ratio(section, key string) float64 { return get[float64](v, section, key, "ratio") }
