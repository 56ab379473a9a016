package ferryenginetest

import (
	"encoding/binary"
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	mixFactor  = 0x9e3779b97f4a7c15
	mixFactor2 = 0xbf58476d1ce4e5b9
	prefixSize = 64
)

const (
	consonants = "bdfgklmnprstvwyz"
	vowels     = "aeiou"
)

// PromptElement returns the simulated model's input for the prompt, which yields the token at position 0.
func PromptElement(seed uint64, prompt string) uint64 {
	return mix(seed ^ xxhash.Sum64String(prompt))
}

// TokenElement returns the simulated model's input for the token before position p, which yields the token at
// p.
func TokenElement(seed uint64, p ferryid.Position, before string) uint64 {
	return mix(seed ^ xxhash.Sum64String(before) ^ uint64(p)*mixFactor)
}

// ApplyLayer runs one layer of the simulated model and returns the new state and the new KV
// cache of the layer.
func ApplyLayer(l ferryid.Layer, state, kv uint64) (nextState, nextKV uint64) {
	nextState = mix(state ^ bits.RotateLeft64(kv, int(l)%64) ^ (uint64(l)+1)*mixFactor)
	nextKV = mix(kv + state*mixFactor2 + uint64(l))
	return nextState, nextKV
}

// Word returns the token text for the state after the last layer.
func Word(state uint64) string {
	var b [6]byte
	b[0] = ' '
	for i := 1; i < len(b); i++ {
		set := consonants
		if i%2 == 0 {
			set = vowels
		}
		b[i] = set[state%uint64(len(set))]
		state /= uint64(len(set))
	}
	return string(b[:])
}

// Reference returns the tokens that the simulated model generates, computed without an engine.
func Reference(seed uint64, prompt string, maxTokens int, layers ferryid.Layer) []string {
	kv := make([]uint64, layers)
	out := make([]string, 0, maxTokens)
	state := PromptElement(seed, prompt)
	for p := range maxTokens {
		for l := range layers {
			state, kv[l] = ApplyLayer(l, state, kv[l])
		}
		out = append(out, Word(state))
		state = TokenElement(seed, ferryid.Position(p+1), out[p])
	}
	return out
}

// Prefixes returns the ids, as in cache events, of the prefixes of a prompt that engines cache,
// shortest first.
func Prefixes(prompt string) []string {
	var out []string
	h := xxhash.New()
	for len(prompt) >= prefixSize {
		_, _ = h.WriteString(prompt[:prefixSize])
		prompt = prompt[prefixSize:]
		out = append(out, strconv.FormatUint(h.Sum64(), 16))
	}
	return out
}

func mix(x uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	return xxhash.Sum64(b[:])
}
