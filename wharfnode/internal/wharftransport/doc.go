// Package wharftransport carries calls between nodes.
//
// A call is one HTTP/1.1 request. Its body is a sequence of CallFrames and the
// body of its response a sequence of AnswerFrames, each preceded by its length.
// A short call takes one frame in each direction. A node passes the frames of a
// call to itself within the process.
package wharftransport
