package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Seed is a peer that a process contacts at startup, before it has read the
// others from the log.
type Seed struct {
	ID   string
	Addr netip.AddrPort
}

// namePattern restricts ids, zones and deployments, because they become part of
// metric labels, certificate URIs and file names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

type byteUnit struct {
	suffix string
	size   int64
}

// byteUnits is searched in order, so "B" follows the units that end in it.
var byteUnits = []byteUnit{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"B", 1},
}

// parse returns the typed value of text, or the reason and detail of a fault.
// Relative paths are resolved from dir.
func (k Key) parse(text, dir string) (any, Reason, string) {
	if text == "" && k.Required {
		return nil, ReasonMissing, "must not be empty"
	}
	switch k.Kind {
	case KindString:
		return text, "", ""
	case KindName:
		return parseName(text)
	case KindInt:
		return k.parseInt(text)
	case KindDuration:
		return k.parseDuration(text)
	case KindBytes:
		return k.parseBytes(text)
	case KindHostPort:
		return parseHostPort(text)
	case KindList:
		return splitList(text), "", ""
	case KindSeeds:
		return parseSeeds(text)
	case KindPath:
		return resolvePath(text, dir), "", ""
	case KindURL:
		return parseURL(text)
	case KindBool:
		return parseBool(text)
	case KindRatio:
		return parseRatio(text)
	case KindNumber:
		return k.parseNumber(text)
	case KindChoice:
		return k.parseChoice(text)
	}
	return nil, ReasonType, fmt.Sprintf("unknown kind %q", k.Kind)
}

func parseName(text string) (any, Reason, string) {
	if !namePattern.MatchString(text) {
		return nil, ReasonType, fmt.Sprintf("%q is not a valid name: want 1 to 63 letters, digits, '.', '_' and '-', starting with a letter or digit", text)
	}
	return text, "", ""
}

func (k Key) parseInt(text string) (any, Reason, string) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, ReasonType, fmt.Sprintf("%q is not an integer", text)
	}
	return n, k.rangeReason(n), k.rangeDetail(n)
}

func (k Key) parseDuration(text string) (any, Reason, string) {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return nil, ReasonUnit, fmt.Sprintf("%q has no unit; write ms, s, m or h", text)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, ReasonType, fmt.Sprintf("%q is not a duration such as 200ms or 3s", text)
	}
	return d, k.rangeReason(int64(d)), k.rangeDetail(int64(d))
}

func (k Key) parseBytes(text string) (any, Reason, string) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n > math.MaxInt64/u.size || n < math.MinInt64/u.size {
			return nil, ReasonType, fmt.Sprintf("%q is not a size such as 64MiB", text)
		}
		n *= u.size
		return n, k.rangeReason(n), k.rangeDetail(n)
	}
	return nil, ReasonUnit, fmt.Sprintf("%q has no unit; write B, KiB, MiB, GiB or TiB", text)
}

func (k Key) rangeReason(n int64) Reason {
	if n < k.Min || (k.Max != 0 && n > k.Max) {
		return ReasonRange
	}
	return ""
}

func (k Key) rangeDetail(n int64) string {
	if k.rangeReason(n) == "" {
		return ""
	}
	return fmt.Sprintf("%s is outside the range: %s", k.format(n), k.rangeText())
}

// format returns n as it is written in a settings file.
func (k Key) format(n int64) string {
	switch k.Kind {
	case KindDuration:
		return time.Duration(n).String()
	case KindBytes:
		return formatBytes(n)
	}
	return strconv.FormatInt(n, 10)
}

func formatBytes(n int64) string {
	best := byteUnit{"B", 1}
	for _, u := range byteUnits {
		if u.size > best.size && n != 0 && n%u.size == 0 {
			best = u
		}
	}
	return strconv.FormatInt(n/best.size, 10) + best.suffix
}

func parseHostPort(text string) (any, Reason, string) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, ReasonType, fmt.Sprintf("%q is not an IP address and port", text)
	}
	return addr, "", ""
}

func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func parseSeeds(text string) (any, Reason, string) {
	var seeds []Seed
	for _, item := range splitList(text) {
		id, hostPort, _ := strings.Cut(item, "@")
		addr, err := netip.ParseAddrPort(hostPort)
		if err != nil || addr.Port() == 0 || !namePattern.MatchString(id) {
			return nil, ReasonType, fmt.Sprintf("%q is not of the form id@host:port with an IP address and a port above 0", item)
		}
		seeds = append(seeds, Seed{ID: id, Addr: addr})
	}
	return seeds, "", ""
}

// resolvePath resolves relative paths from the directory of the settings file, so
// that a directory of settings and certificates can be moved as a whole.
func resolvePath(text, dir string) string {
	if text == "" || filepath.IsAbs(text) {
		return text
	}
	return filepath.Join(dir, text)
}

func parseURL(text string) (any, Reason, string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, ReasonType, fmt.Sprintf("%q is not an http or https URL with a host", text)
	}
	return u, "", ""
}

func parseBool(text string) (any, Reason, string) {
	switch text {
	case "true":
		return true, "", ""
	case "false":
		return false, "", ""
	}
	return nil, ReasonType, fmt.Sprintf("%q is neither true nor false", text)
}

func (k Key) parseNumber(text string) (any, Reason, string) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) {
		return nil, ReasonType, fmt.Sprintf("%q is not a number", text)
	}
	if f < float64(k.Min) || f > float64(k.Max) {
		return nil, ReasonRange, fmt.Sprintf("%s is outside the range: %s", text, k.rangeText())
	}
	return f, "", ""
}

func (k Key) parseChoice(text string) (any, Reason, string) {
	if !slices.Contains(k.Choices, text) {
		return nil, ReasonRange, fmt.Sprintf("%q is none of %s", text, strings.Join(k.Choices, ", "))
	}
	return text, "", ""
}

func parseRatio(text string) (any, Reason, string) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) {
		return nil, ReasonType, fmt.Sprintf("%q is not a number", text)
	}
	if f < 0 || f > 1 {
		return nil, ReasonRange, fmt.Sprintf("%s is outside the range: 0 to 1", text)
	}
	return f, "", ""
}
