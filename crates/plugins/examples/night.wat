;; Free balance checks at night, capped per shop: between 22:00 and 06:00 UTC each customer has so many checks for nothing
;; more than their units; beyond the cap they are refused until the morning. `config` is the cap in two digits, as "20".
(module
  (import "frosthatch" "now_ms" (func $now_ms (result i64)))
  (import "frosthatch" "config" (func $config (param i32 i32) (result i32)))
  (import "frosthatch" "get" (func $get (param i32 i32 i32 i32) (result i32)))
  (import "frosthatch" "set" (func $set (param i32 i32 i32 i32) (result i32)))
  (memory (export "memory") 1)
  ;; 0: the verdict; 32: key, the customer and the night; 64: its count; 96: the configuration; 1024: the record
  (global $cap (mut i32) (i32.const 0))
  (func (export "frosthatch_abi") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (func (export "init") (result i32)
    (if (i32.ne (call $config (i32.const 96) (i32.const 2)) (i32.const 2)) (then (return (i32.const 1))))
    (global.set $cap
      (i32.add
        (i32.mul (i32.sub (i32.load8_u (i32.const 96)) (i32.const 48)) (i32.const 10))
        (i32.sub (i32.load8_u (i32.const 97)) (i32.const 48))))
    i32.const 0)
  (func (export "on_request") (param $at i32) (param $length i32) (result i64)
    (local $hour i64) (local $count i32)
    ;; Only what is safe to repeat is a check.
    (if (i32.eqz (i32.and (i32.load offset=20 (local.get $at)) (i32.const 1))) (then (return (i64.const 0))))
    (local.set $hour (i64.rem_u (i64.div_u (call $now_ms) (i64.const 3600000)) (i64.const 24)))
    (if (i32.and (i64.ge_u (local.get $hour) (i64.const 6)) (i64.lt_u (local.get $hour) (i64.const 22)))
      (then (return (i64.const 0))))
    ;; The night has the number of the day on which it began, counted from noon.
    (i64.store (i32.const 32) (i64.load (local.get $at)))
    (i64.store (i32.const 40) (i64.div_u (i64.sub (call $now_ms) (i64.const 43200000)) (i64.const 86400000)))
    (if (i32.ne (call $get (i32.const 32) (i32.const 16) (i32.const 64) (i32.const 4)) (i32.const 4))
      (then (i32.store (i32.const 64) (i32.const 0))))
    (local.set $count (i32.add (i32.load (i32.const 64)) (i32.const 1)))
    (if (i32.gt_u (local.get $count) (global.get $cap))
      (then
        ;; Refuse, and come back in ten minutes.
        (i64.store (i32.const 0) (i64.or (i64.const 2) (i64.shl (i64.const 600000) (i64.const 32))))
        (i64.store (i32.const 8) (i64.const 0))
        (return (i64.const 16))))
    (i32.store (i32.const 64) (local.get $count))
    (drop (call $set (i32.const 32) (i32.const 16) (i32.const 64) (i32.const 4)))
    i64.const 0))
