//! Trial: one measured world, by the command line. Temporary.
use lab::capacity::members::{Terms, World, resident};

fn at(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * part).round() as usize).copied().unwrap_or(f64::NAN)
}

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let f = |i: usize| args[i].parse::<f64>().expect("a number");
    let (kind, members, cap, loss) = (args[0].as_str(), f(1) as usize, f(2), f(3));
    let more = |i: usize, or: f64| args.get(i).map_or(or, |x| x.parse().expect("a number"));
    let mut terms = Terms {
        members,
        cap,
        loss,
        liars: 2,
        servers: 0,
        rate: 0.0,
        council: kind == "agree" || kind == "burst",
        limits: 0,
        limit_rate: 0.0,
        limits_used: 0,
        seed: more(6, 1.0) as u64,
    };
    if kind == "gossip" {
        terms.servers = 6;
        terms.rate = more(5, 240.0 / 6.0 / members as f64);
    }
    if kind == "fleet" {
        terms.limits = more(5, 6.0) as usize;
        terms.limits_used = terms.limits;
        terms.servers = terms.limits as u64;
        let rate = more(7, 0.4);
        terms.rate = rate;
        terms.limit_rate = rate * members as f64 * 2.0;
    }
    let empty = resident();
    let mut world = World::new(terms)?;
    let warm = more(4, 40.0);
    for _ in 0..(warm / 10.0) as usize {
        world.count_anew();
        world.pass(10_000.0);
        println!(
            "    at {:.0} s: known {:.1} leader {} bytes {:.0} cpu {:.2} packets {:.1} refuted {:.2}",
            world.now / 1000.0,
            world.mean_known(),
            world.has_leader(),
            world.bytes_a_second().0,
            world.cpu_a_second(),
            world.packets_a_second(),
            world.refuted()
        );
    }
    println!(
        "{kind} members {members} cap {cap} loss {loss}: warm {warm} s: known {:.1}, leader {}, bytes {:.0} most {}, cpu {:.2} ms/s, packets {:.1}/s",
        world.mean_known(),
        world.has_leader(),
        world.bytes_a_second().0,
        world.bytes_a_second().1,
        world.cpu_a_second(),
        world.packets_a_second()
    );
    world.count_anew();
    match kind {
        "agree" => {
            let mut p50 = Vec::new();
            for i in 0..3 {
                let line = world.ask(members - 1 - i);
                world.pass(10_000.0);
                let (took, un) = world.spread(line);
                p50.push(format!(
                    "{:.0}/{:.0}/{:.0} un {un}",
                    at(&took, 0.5),
                    at(&took, 0.99),
                    at(&took, 1.0)
                ));
            }
            println!("  decisions p50/p99/last ms: {}", p50.join("; "));
        }
        "burst" => {
            let mut lines = Vec::new();
            for i in 0..50 {
                lines.push(world.ask((i * 7 + 5) % members));
                world.pass(20.0);
            }
            world.pass(19_000.0);
            let (mut last, mut p99, mut un, mut p50) = (0.0_f64, 0.0_f64, 0, 0.0_f64);
            for line in lines {
                let (took, u) = world.spread(line);
                last = last.max(at(&took, 1.0));
                p99 = p99.max(at(&took, 0.99));
                un += u;
                p50 = p50.max(at(&took, 0.5));
            }
            println!(
                "  burst 50: worst line p50 {p50:.0}, p99 {p99:.0}, last {last:.0} ms, unaware pairs {un}"
            );
        }
        "gossip" => {
            world.silence(0);
            world.pass(20_000.0);
            let (took, un) = world.belief();
            println!(
                "  belief p50/p99/last {:.0}/{:.0}/{:.0} ms, unaware {un}",
                at(&took, 0.5),
                at(&took, 0.99),
                at(&took, 1.0)
            );
        }
        _ => world.pass(20_000.0),
    }
    println!(
        "  bytes {:.0} most {}, cpu {:.2} ms/s, packets {:.1}/s, memory {:.0} KiB each, deferred {}",
        world.bytes_a_second().0,
        world.bytes_a_second().1,
        world.cpu_a_second(),
        world.packets_a_second(),
        (resident() - empty) / members as f64 / 1024.0,
        world.deferred()
    );
    Ok(())
}
