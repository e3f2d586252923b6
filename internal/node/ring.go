package node

import "cyclamenwheel/internal/platform"

// ringBytes bounds the records kept for peers. 1 MiB holds about 30 s of a busy log; a
// peer further behind fetches the state instead.
const ringBytes = 1 << 20

// ring keeps the newest records, contiguous, for peers that cannot read the log.
type ring struct {
	records []platform.LogRecord
	bytes   int
}

func (r *ring) add(rec platform.LogRecord) {
	if n := len(r.records); n > 0 && rec.Offset != r.records[n-1].Offset+1 {
		if rec.Offset <= r.records[n-1].Offset {
			return
		}
		r.records, r.bytes = nil, 0
	}
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	for r.bytes > ringBytes && len(r.records) > 1 {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

// from returns up to maxBytes of records starting at offset, but at least one; nil if that
// offset is not kept.
func (r *ring) from(offset uint64, maxBytes int) []platform.LogRecord {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil
	}
	start := offset - r.records[0].Offset
	if start >= uint64(len(r.records)) {
		return nil
	}
	total := 0
	for i, rec := range r.records[start:] {
		total += len(rec.Data)
		if total > maxBytes && i > 0 {
			return r.records[start : start+uint64(i)]
		}
	}
	return r.records[start:]
}
