// Package accounts looks up client accounts by name and by API key and describes what each
// account may have running. It is built from the accounts in the published configuration.
// The request handlers use it to authenticate callers, and package quota to look up limits.
//
// Keys are stored as digests only, so that no dump, log or message can reveal one.
package accounts

import (
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MaxKeyBytes is the length up to which keys are accepted.
const MaxKeyBytes = 512

// Limit bounds what an account may have running at a time across all pools. A resource with
// the value 0 is unlimited.
type Limit struct {
	CPUMilli int `cbor:"1,keyasint,omitempty" json:"cpu_milli,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty" json:"memory_mb,omitempty"`
	GPUs     int `cbor:"3,keyasint,omitempty" json:"gpus,omitempty"`
}

// Unlimited reports whether no resource is limited.
func (l Limit) Unlimited() bool { return l == Limit{} }

// AtLeast reports whether l allows everything that o allows.
func (l Limit) AtLeast(o Limit) bool {
	covers := func(mine, other int) bool { return mine == 0 || other > 0 && mine >= other }
	return covers(l.CPUMilli, o.CPUMilli) && covers(l.MemoryMB, o.MemoryMB) && covers(l.GPUs, o.GPUs)
}

// Lower returns the lower of the two limits for each resource.
func (l Limit) Lower(o Limit) Limit {
	lower := func(a, b int) int {
		if a == 0 || b > 0 && b < a {
			return b
		}
		return a
	}
	return Limit{lower(l.CPUMilli, o.CPUMilli), lower(l.MemoryMB, o.MemoryMB), lower(l.GPUs, o.GPUs)}
}

// Account is one client account.
type Account struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Priority int    `cbor:"2,keyasint,omitempty" json:"priority"`
	// Weight is the account's share under overload, in jobs per second.
	Weight float64 `cbor:"3,keyasint,omitempty" json:"weight"`
	Limit  Limit   `cbor:"4,keyasint,omitempty" json:"limit"`
}

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// DuplicateError reports that two accounts have the same name or the same key.
type DuplicateError struct {
	// Account is the account that was added second.
	Account string
	// What is "name" or "key".
	What string
}

func (e *DuplicateError) Error() string {
	return "the " + e.What + " of account " + e.Account + " is already taken"
}

// Directory finds accounts by name and by key. It is built with Add and must not be changed
// afterwards; a nil Directory has no accounts.
type Directory struct {
	byName map[string]Account
	byKey  map[Digest]string
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{byName: map[string]Account{}, byKey: map[Digest]string{}}
}

// Add adds an account and its keys. Its only error is *DuplicateError.
func (d *Directory) Add(a Account, keys ...Digest) error {
	if _, exists := d.byName[a.Name]; exists {
		return &DuplicateError{Account: a.Name, What: "name"}
	}
	for _, k := range keys {
		if owner, exists := d.byKey[k]; exists && owner != a.Name {
			return &DuplicateError{Account: a.Name, What: "key"}
		}
		d.byKey[k] = a.Name
	}
	d.byName[a.Name] = a
	return nil
}

// Account returns an account by name.
func (d *Directory) Account(name string) (Account, bool) {
	if d == nil {
		return Account{}, false
	}
	a, ok := d.byName[name]
	return a, ok
}

// Authenticate returns the account that a key belongs to. The time of a lookup depends only
// on the key's digest, so it reveals nothing about other keys.
func (d *Directory) Authenticate(key string) (Account, bool) {
	if d == nil || key == "" || len(key) > MaxKeyBytes {
		return Account{}, false
	}
	name, ok := d.byKey[DigestOf(key)]
	if !ok {
		return Account{}, false
	}
	return d.Account(name)
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Names returns the names of all accounts, sorted.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(d.byName))
}

// encodedAccount is the encoding of an account in messages between processes.
type encodedAccount struct {
	Account Account  `cbor:"1,keyasint"`
	Keys    []Digest `cbor:"2,keyasint,omitempty"`
}

// MarshalCBOR encodes all accounts with the digests of their keys.
func (d *Directory) MarshalCBOR() ([]byte, error) {
	keys := map[string][]Digest{}
	for k, name := range d.byKey {
		keys[name] = append(keys[name], k)
	}
	entries := []encodedAccount{}
	for _, name := range d.Names() {
		entries = append(entries, encodedAccount{d.byName[name], keys[name]})
	}
	return cbor.Marshal(entries)
}

// UnmarshalCBOR is the inverse of MarshalCBOR. It returns the decoder's errors or a
// *DuplicateError.
func (d *Directory) UnmarshalCBOR(data []byte) error {
	var entries []encodedAccount
	if err := cbor.Unmarshal(data, &entries); err != nil {
		return err
	}
	*d = *NewDirectory()
	for _, e := range entries {
		if err := d.Add(e.Account, e.Keys...); err != nil {
			return err
		}
	}
	return nil
}

// MarshalJSON encodes the accounts without their keys, for dumps.
func (d *Directory) MarshalJSON() ([]byte, error) {
	list := []Account{}
	for _, name := range d.Names() {
		list = append(list, d.byName[name])
	}
	return json.Marshal(list)
}
