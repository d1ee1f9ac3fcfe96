// Package core groups the pure decision packages. They perform no I/O:
// time, randomness and messages are arguments, effects are return values.
package core
