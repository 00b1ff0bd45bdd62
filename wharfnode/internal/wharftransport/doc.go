// Package wharftransport carries calls between nodes.
//
// A call is one HTTP/1.1 request whose body holds CallFrames, and its answer
// holds AnswerFrames, each with its length before it. A short call is one
// frame each way. A call to the own node passes its frames within the process.
package wharftransport
