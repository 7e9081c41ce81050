package upstream

import "fmt"

// StrayError says that a connection carries answers to other requests.
type MismatchedAnswerError struct{ ID string }

// Error implements error.
func (e *MismatchedAnswerError) Error() string { return "answer to another request: " + e.ID }

// TooLargeError says that an answer exceeds what one may hold.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer exceeds %d bytes", e.Limit) }

// InvalidAnswerError says why a complete answer can't be used.
type InvalidAnswerError struct{ Detail string }

// Error implements error.
func (e *InvalidAnswerError) Error() string { return "invalid answer: " + e.Detail }
