package forward

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// maximumSimilar bounds the similar names in an error.
	maximumSimilar = 5
	// maximumDistanceShare is the largest edit distance of a similar name, as a share of its length.
	maximumDistanceShare = 0.4
	// maximumNameBytes bounds the names that are compared, as the time for a comparison grows with the square of them.
	maximumNameBytes = 128
)

// similarNames returns the known names that are similar to a name, the most similar first.
func similarNames(name string, known []string) []string {
	type match struct {
		name     string
		distance int
	}
	var matches []match
	if len(name) > maximumNameBytes {
		return nil
	}
	folded := strings.ToLower(name)
	for _, other := range known {
		if len(other) > maximumNameBytes {
			continue
		}
		lower := strings.ToLower(other)
		distance := editDistance(folded, lower)
		isPart := folded != "" && (strings.HasPrefix(lower, folded) || strings.HasSuffix(lower, "/"+folded))
		if isPart || float64(distance) <= maximumDistanceShare*float64(max(len(folded), len(lower))) {
			matches = append(matches, match{other, distance})
		}
	}
	slices.SortFunc(matches, func(a, b match) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), strings.Compare(a.name, b.name))
	})
	var names []string
	for _, m := range matches[:min(len(matches), maximumSimilar)] {
		names = append(names, m.name)
	}
	return names
}

// editDistance returns the Levenshtein distance of two texts in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substituted := diagonal
			if a[i] != b[j] {
				substituted++
			}
			diagonal = row[j+1]
			row[j+1] = min(substituted, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
