// Package core groups the pure decision packages. They perform no input or output:
// time, randomness and messages are arguments, effects are return values.
package core
