package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/engineapi"
)

// Token is one generated token.
type Token struct {
	ID    uint32
	Bytes []byte
}

// The vocabulary has three parts, so that the bytes of a token depend on its id alone:
// words, heads of multi-byte characters, and the matching tails.
const (
	wordCount        = 4096
	headBase         = 10_000
	tailBase         = 20_000
	cutsPerCharacter = 4
	// One in splitEvery pairs of tokens shares one multi-byte character.
	splitEvery = 4
)

var (
	syllables  = []string{"ba", "do", "ki", "lu", "me", "no", "ra", "so", "ta", "vi", "wen", "zor", "ple", "gri", "sta", "qu"}
	multiBytes = []string{"é", "ß", "ж", "€", "灯", "籠", "川", "𝄞", "🏮", "🧵"}
)

// TokenBytes returns the text bytes of a token id of the stand-in's vocabulary.
func TokenBytes(id uint32) []byte {
	switch {
	case id >= tailBase:
		text, cut := splitCharacter(id - tailBase)
		return append([]byte(text[cut:]), ' ')
	case id >= headBase:
		text, cut := splitCharacter(id - headBase)
		return []byte(text[:cut])
	}
	word := syllables[id&15] + syllables[id>>4&15] + syllables[id>>8&15]
	return []byte(word + " ")
}

func splitCharacter(code uint32) (text string, cut int) {
	text = multiBytes[int(code/cutsPerCharacter)%len(multiBytes)]
	return text, 1 + int(code%cutsPerCharacter)%(len(text)-1)
}

// tokenAt returns the token with the given index. Tokens are generated in pairs, so that
// the two parts of a split character follow each other.
func tokenAt(key uint64, index uint64) Token {
	var buffer [16]byte
	binary.BigEndian.PutUint64(buffer[:8], key)
	binary.BigEndian.PutUint64(buffer[8:], index/2)
	hash := xxhash.Sum64(buffer[:])
	second := index%2 == 1
	var id uint32
	switch {
	case hash%splitEvery == 0:
		id = headBase + uint32(hash>>8)%uint32(len(multiBytes)*cutsPerCharacter)
		if second {
			id += tailBase - headBase
		}
	case second:
		id = uint32(hash>>40) % wordCount
	default:
		id = uint32(hash>>8) % wordCount
	}
	return Token{ID: id, Bytes: TokenBytes(id)}
}

func sequenceKey(model, version, adapter, prompt string, seed uint64) uint64 {
	digest := xxhash.NewWithSeed(seed)
	for _, part := range []string{model, version, adapter, prompt} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// ExpectedTokens returns the tokens that an engine generates for a request from index 0
// to the end, and the finish reason. It ignores the prefix of the request.
func ExpectedTokens(request engineapi.GenerateRequest) ([]Token, string) {
	key := sequenceKey(request.Model, request.Version, request.Adapter, request.Prompt, request.Seed)
	var tokens []Token
	var text strings.Builder
	for index := uint64(0); index < uint64(maxTokens(request)); index++ {
		token := tokenAt(key, index)
		tokens = append(tokens, token)
		text.Write(token.Bytes)
		if containsStop(text.String(), request.Stop) {
			return tokens, engineapi.FinishStop
		}
	}
	return tokens, engineapi.FinishLength
}

// ExpectedText returns the joined bytes of ExpectedTokens.
func ExpectedText(request engineapi.GenerateRequest) string {
	tokens, _ := ExpectedTokens(request)
	var text strings.Builder
	for _, token := range tokens {
		text.Write(token.Bytes)
	}
	return text.String()
}

func containsStop(text string, stops []string) bool {
	for _, stop := range stops {
		if stop != "" && strings.Contains(text, stop) {
			return true
		}
	}
	return false
}

func maxTokens(request engineapi.GenerateRequest) uint32 {
	if request.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return request.MaxTokens
}
