package jsonfile

import (
	"fmt"
	"strings"
)

// maxProblems bounds the problems reported of one file.
const maxProblems = 20

// Problem is one fault of a file, with its place and how to mend it.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // From 1; 0 where the fault has no place.
	Column  int    `json:"column"` // From 1, in characters.
	Message string `json:"what"`   // What is wrong.
	Hint    string `json:"want"`   // What would be right.
}

// String returns the problem as one line, in the form that editors jump to.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	if p.Hint == "" {
		return place + ": " + p.Message
	}
	return place + ": " + p.Message + "; " + p.Hint
}

// Problems is every fault found. It is an error where it is not empty.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for index, problem := range p {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, nil where there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	if len(p) > maxProblems {
		return p[:maxProblems:maxProblems]
	}
	return p
}
